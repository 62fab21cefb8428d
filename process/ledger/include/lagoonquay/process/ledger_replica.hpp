//! A ledger replica: shards of claims, each under its own lock.
#pragma once

#include "lagoonquay/process/ledger_record_page.hpp"
#include "lagoonquay/process/ledger_shard.hpp"
#include "lagoonquay/process/reach_cache.hpp"
#include "lagoonquay/process/sharded_map.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

namespace lagoonquay
{

//! Decides on claims and keeps their records in memory only. Thread-safe.
class ledger_replica
{
public:
    ledger_replica(ledger_options options, clock_hook now,
                   wall_clock_hook wall);

    //! Decides on a claim and records it.
    //! A request without a submission only asks whether this replica votes on
    //! submissions created now; the answer is granted or fenced.
    //! @return the vote; unknown_reach, and no decision, if the request refers
    //! by number to a reach that this replica has not received.
    claim_vote claim(const claim_request& request);
    //! Restores the record of a claim that an entry has reported as held or in
    //! flight.
    void restore_claim(const claim_request& held);
    //! Restores a record of another replica.
    void restore_record(const ledger_record& told);
    //! @return the records that a replica which began anew may need, of whole
    //! shards from `first_shard` on until there are `max_records`.
    //! @param scope  of that replica.
    ledger_record_page recent_records(std::uint64_t first_shard,
                                      std::size_t max_records,
                                      const record_scope& scope = {});
    //! Notes that every claim in force that the scope covers has a record here,
    //! so that the replica also votes on these submissions without a creation
    //! time.
    void set_complete(const record_scope& scope = {});

    //! @return whether set_complete() was called.
    bool complete() const noexcept;
    //! Drops records and reaches past the retention.
    void expire();
    //! @return the number of records in all shards.
    std::size_t size();

private:
    struct guarded_shard
    {
        explicit guarded_shard(const ledger_options& options) noexcept
            : shard(options)
        {
        }

        std::mutex mutex;
        ledger_shard shard;
    };

    guarded_shard& shard_of(const submission_id& submission);
    std::vector<ledger_record> recent_records_of(std::size_t shard);

    const ledger_options options_;
    reach_cache reaches_;
    std::atomic<bool> complete_{false};
    clock_hook now_;
    wall_clock_hook wall_;
    std::array<std::unique_ptr<guarded_shard>, shard_count> shards_;
};

} // namespace lagoonquay
