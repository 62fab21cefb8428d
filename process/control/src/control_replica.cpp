#include "lagoonquay/process/control_replica.hpp"

#include "control_replica_core.hpp"
#include "lagoonquay/process/log.hpp"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "replica";

} // namespace

struct control_replica::shared
{
    shared(control_replica_options given, control_replica_hooks calls,
           node_id self, const stored_log& stored)
        : hooks(
              std::make_shared<const control_replica_hooks>(std::move(calls))),
          node(std::move(self)), options(std::move(given)),
          core(std::in_place, options, hooks, node, stored)
    {
    }

    //! Runs `use` under the lock, then the calls that it left to do.
    template <typename Use>
    void step(Use use)
    {
        deferred_calls calls;
        {
            const std::lock_guard lock(mutex);
            use(calls);
            if (core->has_writes())
                work_added.notify_one();
        }
        for (const auto& it : calls)
            it();
    }

    //! Stores what has gathered, one sync for all, until the end.
    void run_storage()
    {
        while (auto writes = next_writes())
        {
            const auto stored = hooks->store(*writes);
            step(
                [&](deferred_calls& calls)
                {
                    if (stored)
                        core->stored(writes->back().sequence, calls);
                    else
                        core->storage_failed(stored.error().detail, calls);
                });
            end_storing();
            if (!stored)
                recover();
        }
    }

    // Only now are the messages that depended on the writes sent.
    void end_storing()
    {
        const std::lock_guard lock(mutex);
        storing = false;
    }

    //! Begins anew from what is stored, as a restart does, once the disk takes
    //! writes again.
    void recover()
    {
        std::string last_error;
        while (wait_for_recovery())
        {
            const auto stored = hooks->recover();
            if (stored)
                return restart(stored.value());
            if (stored.error().detail == last_error)
                continue;
            last_error = stored.error().detail;
            write_log(log_level::warning, part,
                      "Storage does not work yet: " + last_error + ".");
        }
    }

    //! @return false once the replica ends.
    bool wait_for_recovery()
    {
        std::unique_lock lock(mutex);
        work_added.wait_for(lock, options.recovery_period,
                            [this] { return ending; });
        return !ending;
    }

    void restart(const stored_log& stored)
    {
        {
            const std::lock_guard lock(mutex);
            core.emplace(options, hooks, node, stored);
        }
        write_event(
            log_level::info, part, {}, "storage_recovered",
            {{"entries", static_cast<std::int64_t>(stored.entries.size())}});
    }

    std::optional<std::vector<log_write>> next_writes()
    {
        std::unique_lock lock(mutex);
        work_added.wait(lock, [this] { return ending || core->has_writes(); });
        if (ending)
            return std::nullopt;
        storing = true;
        return core->take_writes();
    }

    const std::shared_ptr<const control_replica_hooks> hooks;
    mutable std::mutex mutex;
    std::condition_variable work_added;
    const node_id node;
    control_replica_options options;
    std::optional<control_replica_core> core;
    //! Writes were taken, and are not stored yet or what they lead to is not
    //! sent yet.
    bool storing = false;
    bool ending = false;
    std::thread storage;
};

control_replica::control_replica(control_replica_options options,
                                 control_replica_hooks hooks,
                                 const node_id& node, const stored_log& stored)
    : shared_(std::make_unique<shared>(std::move(options), std::move(hooks),
                                       node, stored))
{
    shared_->storage = std::thread([this] { shared_->run_storage(); });
}

control_replica::~control_replica()
{
    {
        const std::lock_guard lock(shared_->mutex);
        shared_->ending = true;
    }
    shared_->work_added.notify_one();
    shared_->storage.join();
}

void control_replica::tick()
{
    shared_->step([&](deferred_calls& calls) { shared_->core->tick(calls); });
}

void control_replica::receive(const replica_batch& batch)
{
    shared_->step([&](deferred_calls& calls)
                  { shared_->core->receive(batch, calls); });
}

replica_greeting control_replica::on_greeting(const replica_greeting& other)
{
    replica_greeting own;
    shared_->step(
        [&](deferred_calls& calls)
        {
            shared_->core->on_greeting(other, calls);
            own = shared_->core->greeting();
        });
    return own;
}

void control_replica::add_peer(const std::string& address)
{
    const std::lock_guard lock(shared_->mutex);
    shared_->options.peers.push_back(address);
    shared_->core->add_peer(address);
}

void control_replica::propose(const command& asked, bool may_forward,
                              const answer_hook& done)
{
    shared_->step([&](deferred_calls& calls)
                  { shared_->core->propose(asked, may_forward, done, calls); });
}

void control_replica::hand_over()
{
    shared_->step([&](deferred_calls& calls)
                  { shared_->core->hand_over(calls); });
}

fleet_view control_replica::view() const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->core->view();
}

bool control_replica::leads() const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->core->leads();
}

std::optional<permit_vote> control_replica::vote(version_number known) const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->core->vote(known);
}

replica_set control_replica::replicas() const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->core->replicas();
}

control_replica_state control_replica::state() const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->core->state();
}

bool control_replica::storing() const
{
    const std::lock_guard lock(shared_->mutex);
    return shared_->storing || shared_->core->has_writes();
}

} // namespace lagoonquay
