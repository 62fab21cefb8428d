// The cases of the review that can't be put as a day of the users' bench.
#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>

namespace lagoonquay::review
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the small installations.
constexpr milliseconds apply_time{2000};      // config_apply_ms
constexpr milliseconds cancel_time{3000};     // cancel_ms
constexpr milliseconds stop_time{50};         // stop_timeout_ms
constexpr milliseconds contact_time{3000};    // contact_ms
constexpr milliseconds retransmit_time{1300}; // retransmit_ms
constexpr milliseconds margin{1000};          // of this test

constexpr unsigned ok = 200;
constexpr unsigned gone = 410;

const std::string job = "5c0e7a21d94b36f8";

bool acknowledged(const answer& it)
{
    return it.status == ok || it.status == gone;
}

//! A manifest adds a queue whose service has no workers yet. Without the
//! trouble, the added queue is one of the old service.
bool queue_of_a_new_service(record& log, bool trouble)
{
    constexpr int jobs = 10;
    deployment fleet(log, 2, milliseconds(60));
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    const std::string service = trouble ? "s2" : "s1";
    fleet.publish(2, {{"q1", "s1"}, {"q2", service}});
    pause(2 * apply_time);
    std::size_t wrong = 0;
    for (int n = 0; n < jobs; ++n)
    {
        const auto id = "5c0e7a21d94b36" + std::to_string(10 + n);
        fleet.post(static_cast<std::size_t>(n) % 3, "q2", id, 2, seconds(2));
        for (const auto& it : fleet.starts_of(id))
            wrong += it.service == service ? 0 : 1;
    }
    log.write("starts on a worker of a service to which no manifest sends the "
              "queue: " +
              std::to_string(wrong));
    return wrong > 0;
}

//! The channel of a job's client is reset, and the client cancels the job at
//! another entry, to which it may have sent it again.
bool cancel_after_a_reset(record& log, bool trouble, bool resends)
{
    constexpr int tasks = 160;
    constexpr std::size_t at_once = 8;
    deployment fleet(log, 2, milliseconds(900));
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    const auto first = fleet.submit(0, "q1", job, tasks, seconds(30));
    if (!within(seconds(5),
                [&] { return fleet.starts_of(job).size() >= at_once; }))
        throw cannot_run("the job does not begin");
    std::size_t entry = 0;
    std::unique_ptr<channel> second;
    if (trouble)
    {
        log.write("the channel of the job's client is reset");
        first->reset();
        pause(retransmit_time);
        entry = 1;
        if (resends)
            second = fleet.submit(entry, "q1", job, tasks, seconds(30));
        pause(milliseconds(300));
    }
    const auto cancelled = fleet.call(entry, http_method::remove, "/q1/" + job);
    if (!acknowledged(cancelled))
        throw cannot_run("the cancelling is not acknowledged");
    const auto last = log.now() + cancel_time.count();
    pause(contact_time + cancel_time + stop_time + margin);
    std::size_t late = 0;
    for (const auto& it : fleet.starts_of(job))
        late += it.at > last ? 1 : 0;
    const auto channel_answer = second ? second->received() : first->received();
    log.write("the job's client has received: " + channel_answer);
    log.write("starts later than cancel_ms after the acknowledgement: " +
              std::to_string(late) + "; tasks that run now: " +
              std::to_string(fleet.running_of(job).size()));
    return late > 0;
}

//! An entry is frozen for a moment, and a job is cancelled there meanwhile.
bool cancel_at_a_frozen_entry(record& log, bool trouble)
{
    constexpr int tasks = 8;
    constexpr milliseconds frozen{1500};
    constexpr milliseconds before_cancel{1000};
    deployment fleet(log, 2, milliseconds(60));
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    fleet.set_work(seconds(15), seconds(15));
    const auto first = fleet.submit(0, "q1", job, tasks, seconds(40));
    if (!within(seconds(5),
                [&] { return fleet.running_of(job).size() == tasks; }))
        throw cannot_run("the job does not run");
    if (trouble)
    {
        log.write("entry 1 is frozen");
        fleet.entry(0).signal(SIGSTOP);
    }
    pause(before_cancel);
    auto cancelled =
        std::async(std::launch::async,
                   [&] {
                       return fleet.call(0, http_method::remove, "/q1/" + job,
                                         {}, seconds(5));
                   });
    pause(frozen - before_cancel);
    if (trouble)
    {
        fleet.entry(0).signal(SIGCONT);
        log.write("entry 1 goes on");
    }
    if (!acknowledged(cancelled.get()))
        throw cannot_run("the cancelling is not acknowledged");
    pause(contact_time + cancel_time + stop_time + margin);
    const auto left = fleet.running_of(job).size();
    log.write("the job's client has received: " + first->received());
    log.write("tasks that run although the cancelling was acknowledged: " +
              std::to_string(left));
    return left > 0;
}

//! A zone is cut off, and a job that was taken there is sent again to an entry
//! outside it, since its client had no answer in time.
bool two_holders_in_a_cut(record& log, bool trouble)
{
    constexpr milliseconds client_limit{3000};
    constexpr milliseconds work{4800};
    constexpr milliseconds estimate{2880}; // three fifths, as on the sites
    constexpr milliseconds to_start{100};
    constexpr int jobs = 8;
    deployment fleet(log, 2, milliseconds(60), true);
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    fleet.set_work(work, estimate);
    if (trouble)
        fleet.cut_zone();
    // Right after the cut, entry 1 refuses a job or two (503, not run). Those
    // are not sent again.
    std::unique_ptr<channel> first;
    std::string taken;
    for (int n = 0; n < jobs && taken.empty(); ++n)
    {
        const auto id = "5c0e7a21d94b36" + std::to_string(10 + n);
        first = fleet.submit(0, "q1", id, 1, client_limit);
        if (within(to_start, [&] { return !fleet.starts_of(id).empty(); }))
            taken = id;
        else
            log.write("its client has received: " + first->received());
    }
    if (taken.empty())
        throw cannot_run("entry 1 takes no job");
    pause(client_limit);
    log.write("the client of " + taken + " has received: " + first->received());
    pause(retransmit_time);
    const auto second = fleet.submit(1, "q1", taken, 1, client_limit);
    pause(to_start);
    if (trouble)
        fleet.heal();
    pause(work);
    log.write("the client of " + taken +
              " has received: " + second->received());
    const auto twice = fleet.doubled().size();
    log.write("tasks that ran twice at the same time: " +
              std::to_string(twice));
    return twice > 0;
}

//! Two zones can't reach each other while a third reaches both. A job of an
//! entry in the third, which runs in zone 1, is sent again to zone 2.
bool adoption_over_a_cut_bridge(record& log, bool trouble)
{
    constexpr milliseconds client_limit{9200};
    constexpr milliseconds work{15000};
    constexpr milliseconds estimate{9000}; // three fifths, as on the sites
    constexpr milliseconds cut{5000};
    constexpr std::size_t third = 2; // entry 3, in zone 3
    constexpr int jobs = 8;
    deployment fleet(log, 2, milliseconds(60), true);
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    fleet.set_work(work, estimate);
    // The job is the first that worker 1 gets.
    std::unique_ptr<channel> first;
    std::string taken;
    for (int n = 0; n < jobs && taken.empty(); ++n)
    {
        const auto id = "5c0e7a21d94b36" + std::to_string(10 + n);
        first = fleet.submit(third, "q1", id, 1, client_limit);
        within(milliseconds(200), [&] { return !fleet.starts_of(id).empty(); });
        for (const auto& it : fleet.worker(0).starts())
            taken = it.task.starts_with(id) ? id : taken;
    }
    if (taken.empty())
        throw cannot_run("worker 1 gets no job");
    const auto began = log.now();
    const auto wait_until = [&](milliseconds time)
    {
        pause(milliseconds(
            std::max<std::int64_t>(0, began + time.count() - log.now())));
    };
    wait_until(client_limit - milliseconds(200));
    if (trouble)
        fleet.cut_bridge();
    const auto healed = client_limit - milliseconds(200) + cut;
    wait_until(client_limit);
    // The client sends the job again after no answer, 502 or 504.
    std::unique_ptr<channel> again;
    for (int n = 0; n < 2; ++n)
    {
        pause(retransmit_time);
        log.write("the client has received: " +
                  (again ? again->received() : first->received()));
        again = fleet.submit(1, "q1", taken, 1, client_limit);
        if (!within(milliseconds(300),
                    [&] { return !again->received().empty(); }))
            break;
    }
    wait_until(healed);
    if (trouble)
        fleet.heal();
    wait_until(work + seconds(1));
    const auto twice = fleet.doubled().size();
    log.write("tasks that ran twice at the same time: " +
              std::to_string(twice));
    return twice > 0;
}

//! A job outlasts its client's time limit, and the client then cancels it. In
//! the report, not a case: no disruption is needed.
bool cancel_after_the_limit(record& log)
{
    constexpr milliseconds client_limit{9200};
    constexpr milliseconds work{15000};
    constexpr milliseconds estimate{9000};
    deployment fleet(log, 2, milliseconds(60));
    fleet.publish(1, {{"q1", "s1"}});
    fleet.become_ready("q1");
    fleet.set_work(work, estimate);
    const auto first = fleet.submit(0, "q1", job, 1, client_limit);
    pause(client_limit + milliseconds(200));
    log.write("the job's client has received: " + first->received());
    if (!acknowledged(fleet.call(0, http_method::remove, "/q1/" + job)))
        throw cannot_run("the cancelling is not acknowledged");
    pause(cancel_time + stop_time + margin);
    const auto left = fleet.running_of(job).size();
    log.write("tasks that run although the cancelling was acknowledged: " +
              std::to_string(left));
    return left > 0;
}

bool play(const std::string& name, record& log, bool trouble)
{
    if (name == "queue_of_a_new_service")
        return queue_of_a_new_service(log, trouble);
    if (name == "cancel_after_a_resend")
        return cancel_after_a_reset(log, trouble, true);
    if (name == "cancel_after_the_limit") // likewise
        return cancel_after_the_limit(log);
    if (name == "cancel_without_a_resend") // in the report, not a case
        return cancel_after_a_reset(log, trouble, false);
    if (name == "cancel_at_a_frozen_entry")
        return cancel_at_a_frozen_entry(log, trouble);
    if (name == "two_holders_in_a_cut")
        return two_holders_in_a_cut(log, trouble);
    if (name == "adoption_over_a_cut_bridge")
        return adoption_over_a_cut_bridge(log, trouble);
    throw cannot_run("no case " + name);
}

} // namespace

} // namespace lagoonquay::review

//! Arguments: the case, the file of the record, and 0 to leave the disruption
//! out or 1 to cause it.
//! @return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
int main(int argc, char** argv)
{
    constexpr int could_not_run = 2;
    if (argc != 4)
        return could_not_run;
    lagoonquay::review::record log(argv[2]);
    try
    {
        const bool broken =
            lagoonquay::review::play(argv[1], log, std::string(argv[3]) != "0");
        log.write(broken ? "the rule was broken" : "the rule held");
        std::cout << (broken ? "the rule was broken\n" : "the rule held\n");
        return broken ? 1 : 0;
    }
    catch (const std::exception& e)
    {
        log.write(std::string("the case couldn't run: ") + e.what());
        std::cout << "the case couldn't run: " << e.what() << "\n";
        return could_not_run;
    }
}
