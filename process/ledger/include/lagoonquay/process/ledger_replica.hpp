//! A ledger replica: shards of claims, each under its own lock.
#pragma once

#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/process/ledger_shard.hpp"
#include "lagoonquay/process/sharded_map.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>

namespace lagoonquay
{

//! Serves claims from memory. Thread-safe.
class ledger_replica
{
public:
    ledger_replica(ledger_options options, clock_hook now,
                   wall_clock_hook wall);

    //! Decides on a claim. One without a submission only asks whether this
    //! replica votes on submissions created now: granted or fenced. One that
    //! names a reach that was not told here gets unknown_reach, and no vote.
    claim_vote claim(const claim_request& asked);
    //! Records a claim that its holder has told.
    void remember(const claim_request& held);
    //! Every live claim is remembered now.
    void set_complete();

    //! @return whether set_complete() was called.
    bool complete() const noexcept;
    void expire();
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

    const ledger_options options_;
    known_reaches reaches_;
    std::atomic<bool> complete_{false};
    clock_hook now_;
    wall_clock_hook wall_;
    std::array<std::unique_ptr<guarded_shard>, shard_count> shards_;
};

} // namespace lagoonquay
