// Every caller of an entry that stops has an answer before the process is
// killed.
#include "entry_drain.hpp"
#include "fake_fleet.hpp"
#include "raw_connection.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/io_threads.hpp"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr stop_plan plan{.notice = milliseconds(2500),
                         .job_end = seconds(5),
                         .end = milliseconds(5400)};

//! An entry with jobs, one slot for them, and an upstream that takes long.
class stop_end : public testing::Test
{
protected:
    stop_end()
    {
        fleet.run_time = [this](const upstream_call&)
        {
            return run_time;
        };
    }

    job work(const std::string& id) const
    {
        return job({.submission = submission_id(id),
                    .customer = customer_id("c"),
                    .created = created,
                    .time_limit = seconds(30),
                    .idempotent = idempotent,
                    .tasks = std::vector<task>(1)});
    }

    //! Sends the jobs to entry 0, one after the other, and stops it.
    void stop_beside(const std::vector<std::string>& ids)
    {
        for (const auto& it : ids)
        {
            fleet.submit(0, work(it));
            fleet.run_for(milliseconds(20));
        }
        fleet.entry(0).mark_not_ready(plan);
        fleet.run_for(plan.end);
        fleet.entry(0).drain();
        fleet.entry(0).answer_rest();
        fleet.run_for(milliseconds(20));
    }

    //! As a stop whose end comes with its signal.
    void stop_at_once()
    {
        fleet.entry(0).mark_not_ready(plan);
        fleet.entry(0).drain();
        fleet.entry(0).answer_rest();
    }

    //! Runs in steps shorter than a message takes, until the only job of entry
    //! 0 is as asked.
    template <typename Reached>
    void run_until(Reached reached)
    {
        for (int n = 0; n < 100000; ++n)
        {
            const auto open = fleet.entry(0).unanswered_jobs(1);
            if (!open.empty() && reached(open.front()))
                return;
            fleet.run_for(std::chrono::microseconds(100));
        }
        FAIL() << "the job did not come that far";
    }

    void run_to_stage(std::string_view stage)
    {
        run_until([&](const unanswered_job& it) { return it.stage == stage; });
    }

    //! @return how often tasks were started, whatever their job.
    std::uint64_t starts() const
    {
        std::uint64_t n = 0;
        for (const auto& it : fleet.record().starts)
            n += it.second;
        return n;
    }

    const std::vector<job_answer>& answers() const
    {
        return fleet.record().answers;
    }

    fake_fleet fleet{{.agents = 1, .slots = 1, .upstreams_can_stop = true}};
    wall_time created = fleet.wall();
    duration run_time = seconds(20);
    bool idempotent = true;
};

TEST_F(stop_end, answers_a_job_that_runs_for_longer)
{
    stop_beside({"runs"});
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
    EXPECT_EQ(answers()[0]->ran, effect::unknown);
}

// Guards against a run that goes on beside the one of a resubmission.
TEST_F(stop_end, lets_a_job_that_ran_be_sent_to_another_entry)
{
    stop_beside({"runs"});
    fleet.kill_entry(0);
    run_time = milliseconds(50);
    fleet.submit(1, work("runs"));
    fleet.run_for(seconds(6));
    ASSERT_EQ(answers().size(), 2U);
    EXPECT_TRUE(succeeded(answers()[1]));
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
}

TEST_F(stop_end, hands_back_a_job_that_waits_for_room_without_its_claim)
{
    stop_beside({"runs", "waits"});
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 2U);
    const auto& refused = answers()[0]->submission == submission_id("waits")
                              ? answers()[0]
                              : answers()[1];
    EXPECT_EQ(refused->reason, failure_reason::draining);
    EXPECT_TRUE(refused->failures.empty());
    run_time = milliseconds(50);
    fleet.submit(1, work("waits"));
    fleet.run_for(milliseconds(300));
    ASSERT_EQ(answers().size(), 3U) << "the lease is still waited for";
    EXPECT_TRUE(succeeded(answers()[2]));
}

TEST_F(stop_end, answers_a_job_without_a_quorum)
{
    fleet.part_entry(0, true);
    stop_beside({"claims"});
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_FALSE(succeeded(answers()[0]));
}

TEST_F(stop_end, answers_a_job_that_another_entry_holds)
{
    fleet.submit(1, work("theirs"));
    fleet.run_for(milliseconds(100));
    stop_beside({"theirs"});
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
}

// Its tasks go on, since nobody may start them again.
TEST_F(stop_end, answers_a_job_that_must_not_be_repeated_as_of_unknown_effect)
{
    idempotent = false;
    stop_beside({"once"});
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
    EXPECT_EQ(answers()[0]->ran, effect::unknown);
    fleet.kill_entry(0);
    fleet.submit(1, work("once"));
    fleet.run_for(seconds(40));
    EXPECT_EQ(starts(), 1U);
    EXPECT_EQ(answers().size(), 2U);
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
}

TEST_F(stop_end, hands_back_a_job_whose_claim_is_in_flight)
{
    fleet.submit(0, work("claims"));
    run_to_stage("claiming");
    stop_at_once();
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    fleet.run_for(milliseconds(20));
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
    run_time = milliseconds(50);
    fleet.submit(1, work("claims"));
    fleet.run_for(milliseconds(300));
    ASSERT_EQ(answers().size(), 2U) << "the lease is still waited for";
    EXPECT_TRUE(succeeded(answers()[1]));
}

// Guards against a task that starts after callers were told to send its job to
// another entry.
TEST_F(stop_end, stops_a_dispatch_in_flight)
{
    fleet.submit(0, work("sent"));
    run_until([](const unanswered_job& it) { return it.dispatched > 0; });
    EXPECT_EQ(starts(), 0U);
    stop_at_once();
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
    EXPECT_EQ(answers()[0]->ran, effect::unknown);
    fleet.run_for(milliseconds(20));
    run_time = milliseconds(50);
    fleet.submit(1, work("sent"));
    fleet.run_for(seconds(6));
    ASSERT_EQ(answers().size(), 2U) << "the run goes on";
    EXPECT_TRUE(succeeded(answers()[1]));
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
}

// The tasks ran under a holder that died; whether they ran is unknown here.
TEST_F(stop_end, answers_a_job_that_is_being_adopted)
{
    fleet.submit(1, work("adopted"));
    fleet.run_for(milliseconds(100));
    fleet.kill_entry(1);
    fleet.separate(0, 0, true);
    fleet.submit(0, work("adopted"));
    run_to_stage("adopting");
    stop_at_once();
    EXPECT_EQ(fleet.entry(0).unanswered(), 0U);
    ASSERT_EQ(answers().size(), 1U);
    EXPECT_EQ(answers()[0]->reason, failure_reason::draining);
    EXPECT_EQ(answers()[0]->ran, effect::unknown);
    fleet.separate(0, 0, false);
    fleet.kill_entry(0);
    fleet.submit(2, work("adopted"));
    fleet.run_for(seconds(30));
    EXPECT_EQ(answers().size(), 2U);
    EXPECT_EQ(fleet.record().violations, std::vector<std::string>());
}

// Guards against a process that ends beside a request that it has begun to
// read.
TEST(stop_ends, after_a_request_that_was_arriving)
{
    fake_fleet fleet({});
    io_threads io(2);
    const auto listen = [&io]
    {
        return http_server::listen(
            io.context(), {.listen = {"127.0.0.1", 0}},
            [](const http_request&, const http_responder& respond)
            { respond({.body = "answer"}); });
    };
    auto callers = listen();
    auto peers = listen();
    ASSERT_TRUE(callers);
    ASSERT_TRUE(peers);
    const raw_connection idle(callers.value().port());
    const raw_connection client(callers.value().port());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
    while (callers.value().requests_arriving() == 0)
        std::this_thread::yield();
    std::promise<void> ended;
    std::thread stop(
        [&]
        {
            drain_entry({.service = fleet.entry(0),
                         .callers = callers.value(),
                         .peers = peers.value()},
                        {.close_time = std::chrono::minutes(1)});
            io.stop();
            ended.set_value();
        });
    EXPECT_EQ(idle.read_to_end(), "");
    while (raw_connection(callers.value().port()).open())
        std::this_thread::yield();
    client.send("cd");
    EXPECT_NE(client.read_to_end().find("answer"), std::string::npos);
    EXPECT_EQ(ended.get_future().wait_for(seconds(5)),
              std::future_status::ready);
    stop.join();
}

// Guards against a process that waits for a peer until it is killed.
TEST(stop_ends, beside_a_request_of_a_peer_that_nobody_answers)
{
    fake_fleet fleet({});
    io_threads io(2);
    http_responder never;
    auto callers =
        http_server::listen(io.context(), {.listen = {"127.0.0.1", 0}},
                            [](const http_request&,
                               const http_responder& respond) { respond({}); });
    std::promise<void> asked;
    auto peers = http_server::listen(
        io.context(), {.listen = {"127.0.0.1", 0}},
        [&](const http_request&, const http_responder& respond)
        {
            never = respond;
            asked.set_value();
        });
    ASSERT_TRUE(callers);
    ASSERT_TRUE(peers);
    http_client client(io.context(), {});
    client.send({"127.0.0.1", peers.value().port()}, {.path = "/"},
                std::chrono::minutes(1),
                [](const connection_result<http_response>&) {});
    asked.get_future().wait();
    auto stopped = std::async(std::launch::async,
                              [&]
                              {
                                  drain_entry({.service = fleet.entry(0),
                                               .callers = callers.value(),
                                               .peers = peers.value()},
                                              {});
                              });
    EXPECT_EQ(stopped.wait_for(seconds(5)), std::future_status::ready);
    never({});
    stopped.wait();
    io.stop();
}

} // namespace

} // namespace lagoonquay
