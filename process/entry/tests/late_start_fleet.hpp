//! A fleet whose first start is held up without an answer, as the tests of late
//! starts need it.
#pragma once

#include "lagoonquay/connection/message_link.hpp"
#include "lagoonquay/process/log.hpp"
#include "leased_workers.hpp"

#include <gtest/gtest.h>
#include <optional>

namespace lagoonquay
{

//! The durations of the product, and two agents.
class late_start_fleet : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        open_log({.level = log_level::error});
    }

    static fake_fleet_options with_workers(leased_workers& workers,
                                           std::size_t entries)
    {
        const entry_options usual;
        fake_fleet_options options;
        options.entries = entries;
        options.agents = 2;
        options.lease = usual.claim_lease;
        options.link_silence = message_link_options().silence;
        options.hooks.adjust_entry = [usual](entry_options& it)
        {
            it.claim_margin = usual.claim_margin;
            it.reconnect_timeout = usual.reconnect_timeout;
        };
        workers.attach(options.hooks);
        return options;
    }

    explicit late_start_fleet(std::size_t entries, bool tells_begun = true)
        : workers(fleet, {.tells_begun = tells_begun}),
          fleet(with_workers(workers, entries))
    {
        workers.work_time = [](const task_run&)
        {
            return std::chrono::seconds(3);
        };
    }

    //! Holds up the first start by `delay`, without an answer.
    void hold_up_start(duration delay)
    {
        workers.on_order = [this,
                            delay](std::size_t at, order_kind kind,
                                   const task_run&) -> std::optional<order_fate>
        {
            if (kind != order_kind::start || first_agent)
                return std::nullopt;
            first_agent = at;
            sent = fleet.time().now();
            return order_fate{.delay = delay, .answer_lost = true};
        };
    }

    leased_workers workers;
    fake_fleet fleet;
    std::optional<std::size_t> first_agent; //!< that sent the held-up start
    instant sent{};                         //!< when it did
};

} // namespace lagoonquay
