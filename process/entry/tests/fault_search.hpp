//! Plays every order of a few faults, and finds the shortest paths to a broken
//! promise.
#pragma once

#include "fault_search_play.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lagoonquay
{

struct fault_search_options
{
    std::size_t depth = 2;      //!< most faults of a path
    std::size_t job_number = 0; //!< names the job, and so chooses its replicas
    //! Only paths whose first step has this number modulo `shards`.
    std::size_t shard = 0;
    std::size_t shards = 1;
    //! Actions and moments by their numbers; all if empty.
    std::vector<std::size_t> actions;
    std::vector<std::size_t> moments;
    std::chrono::seconds longest = std::chrono::hours(24);

    friend bool operator==(const fault_search_options&,
                           const fault_search_options&) = default;
};

//! A shortest path to one kind of finding. Paths with the same actions in the
//! same order at other moments count as one.
struct found_path
{
    std::string kind;
    fault_path path;
    std::string detail;

    //! @return the actions without their moments.
    std::string actions() const;
    //! @return one line.
    std::string text() const;

    friend bool operator==(const found_path&, const found_path&) = default;
};

struct fault_search_counts
{
    std::uint64_t plays = 0;
    std::uint64_t without_change = 0; //!< a step changed nothing
    std::uint64_t equal = 0;          //!< had the trace of another play
    std::uint64_t with_findings = 0;
    //! At the end of the time, not counting what would extend them.
    std::uint64_t not_played = 0;

    friend bool operator==(const fault_search_counts&,
                           const fault_search_counts&) = default;
};

class fault_search
{
public:
    explicit fault_search(fault_search_options options);

    void run();
    const std::vector<found_path>& found() const noexcept;
    const fault_search_counts& counts() const noexcept;

private:
    void visit(const fault_path& path, std::size_t faults);
    void extend(const fault_path& path, std::size_t faults);
    bool is_chosen(const fault_path& path) const;
    bool is_known_state(const fault_play& play, const fault_path& path);
    void note(const fault_path& path, const fault_finding& finding);

    const fault_search_options options_;
    //! Paths to play, by the number of their faults.
    std::vector<std::vector<fault_path>> waiting_;
    //! The last step of the first path with a trace and lasting faults.
    std::map<std::pair<std::uint64_t, std::string>, fault_step> known_;
    std::vector<found_path> found_;
    fault_search_counts counts_;
};

//! @return a line that names each step and its moment.
std::string to_text(const fault_path& path);

} // namespace lagoonquay
