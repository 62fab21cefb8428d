#include "lagoonquay/load/slopes.hpp"

#include "lagoonquay/process/agent_table.hpp"
#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/request/dispatch_codec.hpp"
#include "lagoonquay/request/job_codec.hpp"
#include "lagoonquay/request/job_run.hpp"
#include "lagoonquay/request/start_guard.hpp"
#include "lagoonquay/version/version_codec.hpp"
#include "lone_control.hpp"
#include "slope_probe.hpp"

namespace lagoonquay::load
{

namespace
{

const std::vector<std::size_t> record_counts{2000, 4000, 8000, 16000};
const std::vector<std::size_t> call_counts{500, 1000, 2000, 4000};
const std::vector<std::size_t> member_counts{11, 100, 400, 1600};
const std::vector<std::size_t> task_counts{1, 10, 60, 230};
const std::vector<std::size_t> settings_sizes{1000, 4000, 16000, 64000};

constexpr const char* text_of_36 = "0f6b2f0a-5d1c-4b59-9f4e-";

//! @return an id of the usual 36 bytes.
std::string long_id(std::size_t n)
{
    auto digits = std::to_string(n);
    return text_of_36 + std::string(12 - digits.size(), '0') + digits;
}

claim_request sample_claim(std::size_t n)
{
    return claim_request({.submission = submission_id(long_id(n)),
                          .digest = content_digest(n),
                          .created = wall_now(),
                          .holder = entry_id("entry-1"),
                          .holder_run = incarnation(7),
                          .holder_address = "10.20.30.40:7101",
                          .round = {},
                          .lease = std::chrono::seconds(5),
                          .reach = {}});
}

member sample_member(std::size_t n, member_role role)
{
    member_options it;
    it.role = role;
    it.id = "agent-" + std::to_string(n);
    it.run = incarnation(n);
    it.domain = domain_id("domain-1");
    it.address = "10.20.30.40:7104";
    it.slots = 8;
    it.capacity = {32000, 65536, 2};
    it.serving = true;
    return member(std::move(it));
}

task sample_task()
{
    return task({.kind = "quote",
                 .payload = R"({"run_ms":120,"die":"tray-30"})",
                 .need = {2000, 1024, 0},
                 .declared_run = std::chrono::milliseconds(120)});
}

job sample_job(std::size_t tasks)
{
    job_options it;
    it.submission = submission_id(long_id(tasks));
    it.customer = customer_id("large");
    it.created = wall_now();
    it.time_limit = std::chrono::seconds(30);
    it.tasks.assign(tasks, sample_task());
    return job(std::move(it));
}

dispatch_message sample_dispatch(std::size_t n)
{
    dispatch_message it;
    it.submission = submission_id(long_id(n));
    it.key = {task_index(0), attempt_number(65537), agent_id("agent-1"),
              incarnation(7)};
    it.start_before = steady_now() + std::chrono::hours(1);
    it.run_limit = std::chrono::seconds(30);
    it.work = sample_task();
    return it;
}

result_message sample_result(std::size_t n)
{
    result_message it;
    it.submission = submission_id(long_id(n));
    it.key = sample_dispatch(n).key;
    it.result = task_result({.index = task_index(0),
                             .reason = failure_reason::none,
                             .ran = effect::ran,
                             .body = long_id(n) + "/0 done",
                             .detail = {}});
    return it;
}

ledger_options open_ledger()
{
    // Its memory begins long ago, so that nothing is fenced.
    return {.records_since = wall_now() - std::chrono::hours(1)};
}

void fill(ledger_replica& ledger, std::size_t records)
{
    for (std::size_t n = 0; n < records; ++n)
        ledger.claim(sample_claim(n));
}

void fill(control_service& control, std::size_t members)
{
    for (std::size_t n = 0; n < members; ++n)
        (void)control.on_heartbeat(
            {sample_member(n, member_role::agent), version_number()});
}

double ledger_memory(std::size_t records)
{
    const auto before = allocated_bytes();
    ledger_replica ledger(open_ledger(), steady_now, wall_now);
    fill(ledger, records);
    return allocated_bytes() - before;
}

// What a replica does for a claim: decode, decide, encode.
double claim_time(std::size_t claims)
{
    ledger_replica ledger(open_ledger(), steady_now, wall_now);
    std::vector<std::string> requests;
    for (std::size_t n = 0; n < claims; ++n)
        requests.push_back(encode_claim_request(sample_claim(n)));
    return time_of(
        [&]
        {
            for (const auto& it : requests)
            {
                const auto asked = decode_claim_request(it);
                encode_claim_vote(ledger.claim(asked.value()));
            }
        });
}

double start_record_memory(std::size_t records)
{
    const auto before = allocated_bytes();
    start_guard guard({.agent_run = incarnation(7)});
    for (std::size_t n = 0; n < records; ++n)
    {
        const auto it = sample_result(n);
        guard.try_start(sample_dispatch(n), steady_now());
        guard.finish({it.submission, task_index(0)}, it.key.attempt, it.result,
                     steady_now());
    }
    return allocated_bytes() - before;
}

double start_time(std::size_t starts)
{
    start_guard guard({.agent_run = incarnation(7)});
    std::vector<std::string> frames;
    for (std::size_t n = 0; n < starts; ++n)
        frames.push_back(encode_frame({sample_dispatch(n)}));
    return time_of(
        [&]
        {
            for (const auto& it : frames)
            {
                const auto messages = decode_frame(it);
                const auto& dispatch =
                    std::get<dispatch_message>(messages.value().front());
                guard.try_start(dispatch, steady_now());
            }
        });
}

double result_time(std::size_t results)
{
    std::vector<std::string> frames;
    for (std::size_t n = 0; n < results; ++n)
        frames.push_back(encode_frame({sample_result(n)}));
    return time_of(
        [&]
        {
            for (const auto& it : frames)
                (void)decode_frame(it);
        });
}

double job_memory(std::size_t tasks)
{
    const auto text = encode_job(sample_job(tasks));
    const auto before = allocated_bytes();
    const job_run run(decode_job(text, {}).value());
    return allocated_bytes() - before;
}

double job_decode_time(std::size_t tasks)
{
    constexpr int rounds = 50;
    const auto text = encode_job(sample_job(tasks));
    return time_of(
               [&]
               {
                   for (int n = 0; n < rounds; ++n)
                       (void)digest_of(decode_job(text, {}).value());
               }) /
           rounds;
}

double job_bytes(std::size_t tasks)
{
    return static_cast<double>(encode_job(sample_job(tasks)).size());
}

double dispatch_bytes(std::size_t tasks)
{
    const std::vector<link_message> messages(tasks, sample_dispatch(1));
    return static_cast<double>(encode_frame(messages).size());
}

double result_bytes(std::size_t tasks)
{
    const std::vector<link_message> messages(tasks, sample_result(1));
    return static_cast<double>(encode_frame(messages).size());
}

double member_memory(std::size_t members)
{
    const auto before = allocated_bytes();
    lone_control owner;
    auto& control = owner.service();
    fill(control, members);
    return allocated_bytes() - before;
}

double known_agent_memory(std::size_t agents)
{
    const auto before = allocated_bytes();
    agent_table table;
    std::vector<member> known;
    for (std::size_t n = 0; n < agents; ++n)
        known.push_back(sample_member(n, member_role::agent));
    table.learn(known, steady_now());
    known.clear();
    known.shrink_to_fit();
    return allocated_bytes() - before;
}

std::string heartbeat(control_service& control, const std::string& request)
{
    const auto asked = decode_permit_request(request);
    return encode_permit_reply(control.on_heartbeat(asked.value()));
}

double heartbeat_time(member_role role, std::size_t members)
{
    constexpr int rounds = 20;
    lone_control owner;
    auto& control = owner.service();
    fill(control, members);
    const auto request = encode_permit_request(
        {sample_member(0, role), control.view()->version});
    return time_of(
               [&]
               {
                   for (int n = 0; n < rounds; ++n)
                       heartbeat(control, request);
               }) /
           rounds;
}

double agent_heartbeat_time(std::size_t members)
{
    return heartbeat_time(member_role::agent, members);
}

double entry_heartbeat_time(std::size_t members)
{
    return heartbeat_time(member_role::entry, members);
}

double reply_bytes(member_role role, std::size_t members)
{
    lone_control owner;
    auto& control = owner.service();
    fill(control, members);
    const auto request = encode_permit_request(
        {sample_member(members, role), control.view()->version});
    return static_cast<double>(heartbeat(control, request).size());
}

double agent_reply_bytes(std::size_t members)
{
    return reply_bytes(member_role::agent, members);
}

double entry_reply_bytes(std::size_t members)
{
    return reply_bytes(member_role::entry, members);
}

double heartbeat_bytes(std::size_t messages)
{
    const auto request = encode_permit_request(
        {sample_member(1, member_role::agent), version_number(1)});
    return static_cast<double>(messages * request.size());
}

double claim_bytes(std::size_t claims)
{
    const claim_vote vote(
        {.verdict = claim_verdict::granted, .round = claim_round(1)});
    const auto size = encode_claim_request(sample_claim(1)).size() +
                      encode_claim_vote(vote).size();
    return static_cast<double>(claims * size);
}

// What a process does with the votes of three replicas.
double merge_time(std::size_t merges)
{
    const fleet_view known;
    std::vector<permit_vote> votes(3);
    return time_of(
        [&]
        {
            for (std::size_t n = 0; n < merges; ++n)
                (void)merge_votes(votes, votes.size(), known, steady_now());
        });
}

// What a process does with a settings change: decode and merge.
double apply_time(std::size_t settings_bytes)
{
    constexpr int rounds = 50;
    fleet_view_options view;
    view.version = version_number(1);
    view.settings = std::string(settings_bytes, 's');
    permit_reply reply;
    reply.vote = permit_vote{.replica = replica_id("control-1"),
                             .version = view.version,
                             .view = fleet_view(view)};
    const auto text = encode_permit_reply(reply);
    return time_of(
               [&]
               {
                   for (int n = 0; n < rounds; ++n)
                   {
                       const auto vote = decode_permit_reply(text);
                       if (!vote || !vote.value().vote)
                           continue;
                       (void)merge_votes({*vote.value().vote}, 1, fleet_view(),
                                         steady_now());
                   }
               }) /
           rounds;
}

double change_bytes(std::size_t settings_bytes)
{
    const command asked(
        {.id = command_id(long_id(1)),
         .author = "operator",
         .expected = version_number(1),
         .what = set_settings{std::string(settings_bytes, 's')}});
    return static_cast<double>(encode_command(asked).size());
}

double change_time(std::size_t changes)
{
    std::vector<std::string> commands;
    for (std::size_t n = 0; n < changes; ++n)
        commands.push_back(encode_command(
            command({.id = command_id(long_id(n)),
                     .author = "operator",
                     .expected = {},
                     .what = set_domain{domain_id("domain-1"), n % 2 == 0}})));
    fleet_state state;
    return time_of(
        [&]
        {
            for (const auto& it : commands)
                state.apply(decode_command(it).value());
        });
}

} // namespace

std::vector<slope> measure_slopes()
{
    return {
        measure("ledger_record_memory", "bytes", record_counts, ledger_memory),
        measure("ledger_claim_time", "us", call_counts, claim_time),
        measure("ledger_claim_bytes", "bytes", call_counts, claim_bytes),
        measure("start_record_memory", "bytes", record_counts,
                start_record_memory),
        measure("start_time", "us", call_counts, start_time),
        measure("result_decode_time", "us", call_counts, result_time),
        measure("dispatch_bytes", "bytes", task_counts, dispatch_bytes),
        measure("result_bytes", "bytes", task_counts, result_bytes),
        measure("job_task_memory", "bytes", task_counts, job_memory),
        measure("job_task_decode_time", "us", task_counts, job_decode_time),
        measure("job_task_bytes", "bytes", task_counts, job_bytes),
        measure("control_member_memory", "bytes", member_counts, member_memory),
        measure("entry_known_agent_memory", "bytes", member_counts,
                known_agent_memory),
        measure("heartbeat_request_bytes", "bytes", call_counts,
                heartbeat_bytes),
        measure("agent_heartbeat_time_per_member", "us", member_counts,
                agent_heartbeat_time),
        measure("entry_heartbeat_time_per_member", "us", member_counts,
                entry_heartbeat_time),
        measure("agent_reply_bytes_per_member", "bytes", member_counts,
                agent_reply_bytes),
        measure("entry_reply_bytes_per_member", "bytes", member_counts,
                entry_reply_bytes),
        measure("vote_merge_time", "us", call_counts, merge_time),
        measure("change_apply_time", "us", call_counts, change_time),
        measure("settings_apply_time_per_byte", "us", settings_sizes,
                apply_time),
        measure("settings_change_bytes_per_byte", "bytes", settings_sizes,
                change_bytes),
    };
}

} // namespace lagoonquay::load
