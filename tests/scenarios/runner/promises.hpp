//! Checks of the promises that hold after every step of a scenario.
#pragma once

#include "fake_upstream.hpp"
#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Watches starts and answers, and notes each broken promise.
//! Not thread-safe.
class promises
{
public:
    //! @param slots  of each upstream.
    explicit promises(std::uint32_t slots);

    void submitted(const job& work);
    void started(const seen_start& it);
    void answered(const job_answer& answer);
    void taken_out(const domain_id& domain, instant when);
    void brought_back(const domain_id& domain);
    void ran_at_once(std::uint32_t tasks);

    std::size_t starts_of(const submission_id& submission) const;
    const std::vector<std::string>& broken() const noexcept;

private:
    void check_not_run();
    void check_complete(const job_answer& answer);
    void note(const std::string& text);

    std::uint32_t slots_;
    std::map<submission_id, job> jobs_;
    std::map<task_key, std::size_t> starts_;
    std::map<domain_id, instant> out_since_;
    std::set<submission_id> said_not_run_;
    std::set<task_key> tasks_said_not_run_;
    std::vector<std::string> broken_;
};

} // namespace lagoonquay
