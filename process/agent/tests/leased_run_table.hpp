//! Fixture: a run table with a worker, for tests of single orders.
#pragma once

#include "run_table.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace lagoonquay
{

inline const worker_life life(1000);
inline const instant began(std::chrono::seconds(10));

//! A table with a worker that has answered, so that it is ready.
class leased_run_table : public testing::Test
{
protected:
    leased_run_table() : table({})
    {
        now = began - std::chrono::milliseconds(80);
        EXPECT_TRUE(table.set_worker(worker(life), worker_time(5000), now));
        report(take().extensions.at(0), {}, {});
        EXPECT_FALSE(table.ready(now));
        now = began;
        table.tick(now);
        report(take().extensions.at(0), {}, {});
        EXPECT_TRUE(table.ready(now));
        take();
    }

    static worker_address worker(worker_life of)
    {
        return {{"127.0.0.1", 9}, "w", of};
    }

    static task_run run(std::uint64_t index, std::uint64_t attempt = 1)
    {
        return {submission_id("s"), task_index(index), attempt_number(attempt)};
    }

    start_order start(std::uint64_t index)
    {
        upstream_call call;
        call.submission = submission_id("s");
        call.index = task_index(index);
        call.attempt = attempt_number(1);
        call.retry_window = retry_window;
        table.start(
            call, [this](const task_result& it) { results.push_back(it); },
            now);
        const auto output = take();
        return output.starts.empty() ? start_order() : output.starts.at(0);
    }

    run_table_output take()
    {
        auto output = table.take_output(now);
        for (const auto& it : output.results)
            it.done(it.result);
        for (const auto& it : output.extensions)
            last_order = it;
        for (const auto& it : output.stops)
            stops.push_back(it.run);
        return output;
    }

    void report(const numbered_extension& asked,
                const std::vector<running_run>& running,
                const std::vector<ended_run>& ended)
    {
        lease_reply reply;
        reply.order = {order_result::accepted, clock()};
        reply.running = running;
        reply.ended = ended;
        table.on_extended(life, asked, reply, now);
    }

    worker_time clock() const
    {
        return worker_time(5000) +
               std::chrono::duration_cast<worker_time>(now - began);
    }

    void answer(const start_order& order, order_result result)
    {
        order_reply reply;
        reply.result = result;
        if (result != order_result::unknown)
            reply.clock = clock();
        table.on_start(life, order, reply, now);
        take();
    }

    instant now = began;
    duration retry_window{}; //!< of the calls to start
    run_table table;
    std::vector<task_result> results;
    std::vector<task_run> stops;
    std::optional<numbered_extension> last_order;
};

} // namespace lagoonquay
