//! The part of the replicated log that a replica holds in memory.
#pragma once

#include "lagoonquay/version/log_entry.hpp"

#include <deque>

namespace lagoonquay
{

//! Entries after a snapshot. Not thread-safe.
class memory_log
{
public:
    memory_log() = default;
    memory_log(snapshot_handle base, const std::vector<log_entry>& entries);

    log_index first() const noexcept; //!< index of the oldest entry held
    log_index last() const noexcept;
    term_number last_term() const noexcept;

    //! @return the term at an index, or nothing if it is not known.
    std::optional<term_number> term_at(log_index index) const noexcept;

    //! @return up to `most` entries from `from` on.
    std::vector<log_entry> slice(log_index from, std::size_t most) const;

    //! @return the same, cut before it takes more than `most_bytes`; one entry
    //! at least if there is one.
    std::vector<log_entry> slice(log_index from, std::size_t most,
                                 std::size_t most_bytes) const;

    //! Adds an entry in place of all entries from its index on.
    void put(log_entry entry);

    //! Forgets the entries up to the snapshot's index.
    void compact(snapshot_handle base);

    const snapshot_handle& base() const noexcept;

    //! @return the newest membership in the log, committed or not.
    const membership& members() const noexcept;
    log_index members_index() const noexcept;

    //! @return the membership in force at an index.
    membership members_at(log_index index) const;

private:
    void find_members();

    snapshot_handle base_;
    std::deque<log_entry> entries_;
    membership members_;
    log_index members_index_;
};

} // namespace lagoonquay
