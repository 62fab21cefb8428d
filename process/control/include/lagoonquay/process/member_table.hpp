//! The members that one control replica hears of.
#pragma once

#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/version/member.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonquay
{

//! A member and the newest version that it has applied.
struct member_report
{
    member about;
    version_number applied;

    friend bool operator==(const member_report&,
                           const member_report&) = default;
};

//! Counts the changes to its list, so that a process that knows it up to some
//! change is told only what came later. Thread-safe.
class member_table
{
public:
    //! @param life  of the replica: marks of another one mean nothing here.
    explicit member_table(incarnation life) noexcept;

    //! @return whether this life of the member is heard of for the first time.
    bool note(const member_report& report, instant now);

    //! Forgets members not heard of for so long. @return these.
    std::vector<member> forget_silent(duration silence, instant now);

    std::vector<member_report> reports();

    //! @return what a process that knows the list at a mark has not heard.
    member_changes since(const members_mark& known);

private:
    struct known_member
    {
        member_report report;
        instant heard{};
        std::uint64_t changed = 0; //!< revision of the last change
    };
    struct gone_member
    {
        std::uint64_t revision = 0;
        std::string id;
    };

    void note_gone(const std::vector<member>& lost);

    const incarnation life_;
    std::atomic<std::uint64_t> revision_{0};
    sharded_map<std::string, known_member> members_;

    std::mutex gone_mutex_;
    std::deque<gone_member> gone_;     //!< the newest last
    std::uint64_t gone_forgotten_ = 0; //!< newest revision dropped from gone_
};

} // namespace lagoonquay
