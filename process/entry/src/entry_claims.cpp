// Claims of an entry's jobs: request, confirmation, renewal and forwarding.
#include "entry_job.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "entry";

//! Of one adoption, for reports to replicas that began anew.
constexpr std::uint32_t max_confirmations = 3;

job_answer claim_refusal(const submission_id& submission, claim_status status)
{
    switch (status)
    {
    case claim_status::mismatch:
        return refusal(submission, failure_reason::content_mismatch,
                       effect::unknown,
                       "the submission id was used with other content");
    case claim_status::closed:
        return refusal(submission, failure_reason::already_failed,
                       effect::unknown,
                       "the submission has failed before; its tasks stay as "
                       "they were");
    case claim_status::fenced:
        return refusal(submission, failure_reason::fenced, effect::unknown,
                       "the submission is older than the ledger's memory");
    default:
        return refusal(submission, failure_reason::ledger_unavailable,
                       effect::unknown, "no quorum of ledger replicas");
    }
}

} // namespace

// Requires the lock of the job's shard. A replica without a record has the
// reach from this request alone, so that it names the agents of earlier holders
// too.
claim_request_options entry_service::request_for(const job_state& state) const
{
    return {.submission = state.id,
            .digest = state.digest,
            .created = state.submitted->created,
            .dated = state.submitted->dated,
            .holder = options_.id,
            .holder_run = options_.run,
            .holder_address = options_.address,
            .round = state.round,
            .ask = state.ask,
            .lapsed = hooks_.now() >= state.claim_end,
            .lease = options_.claim_lease,
            .reach = state.requested_reach.joined(state.earlier_agents)};
}

//! @param confirm  the round to confirm, or zero for a new claim.
void entry_service::request_claim(const job_pointer& state, claim_round confirm)
{
    const auto usable = linked_reach();
    const claim_sequence ask(++last_claim_ask_);
    std::optional<claim_request> request;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer)
                     return;
                 it.claim_pending = true;
                 it.claim_retry_at.reset();
                 it.asked_round = confirm;
                 it.told_in_flight = false;
                 it.confirmations =
                     confirm == claim_round() ? 0 : it.confirmations + 1;
                 if (confirm == claim_round())
                 {
                     it.ask = ask;
                     it.requested_reach = usable;
                 }
                 auto options = request_for(it);
                 options.round = confirm;
                 request = claim_request(std::move(options));
             });
    if (!request)
        return;
    hooks_.claim(*request, [this, state, confirm](const claim_outcome& outcome)
                 { on_claim(state, confirm, outcome); });
}

// When the replicas' rounds differ, two adopting entries can both be granted
// the same highest round. A round is therefore used only once a quorum has
// recorded it: any two quorums share a replica, and that replica grants each
// new holder a higher round.
//
// A replica that began anew and was told of an adoption in flight lacks its
// round or knows it from there alone, and its earlier life may be one of those
// that voted. Such an adoption is confirmed once more, by votes that were given
// after that. They record the agents of the earlier holders too. The replica
// goes on asking; more than a few reports are to one life of it.
//
// If the record of an earlier claim may be lost, all linked agents are asked,
// in a round that no earlier holder had. A job that must not be repeated is
// refused unless a record shows that it was claimed: it may be new, or may have
// run at an agent that can't be asked.
void entry_service::on_claim(const job_pointer& state, claim_round asked,
                             const claim_outcome& outcome)
{
    bool open = false;
    bool confirm = false;
    bool fenced = false;
    claim_round round;
    with_job(state,
             [&](job_state& it)
             {
                 open = !it.answer;
                 // One that is held stays pending until its round is set.
                 it.claim_pending =
                     open && outcome->status == claim_status::held;
                 if (!it.claim_pending)
                     return;
                 const bool first = asked == claim_round();
                 it.needs_adoption = it.needs_adoption ||
                                     outcome->first_claim_age.count() > 0 ||
                                     (!first && outcome->round != asked);
                 it.earlier_agents = it.earlier_agents.joined(outcome->reach);
                 const auto after_loss = round_after_loss(outcome);
                 if (may_lack_record(it, outcome))
                 {
                     it.needs_adoption = it.has_lost_record = true;
                     it.earlier_agents =
                         it.earlier_agents.joined(it.requested_reach);
                     fenced = !it.submitted->idempotent &&
                              outcome->first_claim_age.count() == 0;
                 }
                 confirm = !outcome->confirmed || asked < after_loss ||
                           (!first && outcome->round != asked) ||
                           (it.needs_adoption && it.told_in_flight &&
                            it.confirmations < max_confirmations);
                 it.asked_round = std::max(outcome->round, after_loss);
                 round = it.asked_round;
             });
    if (!open)
        return release_claim(state);
    if (outcome->status != claim_status::held)
        return on_not_held(state, outcome);
    if (fenced)
        return on_not_held(state,
                           claim_outcome({.status = claim_status::fenced}));
    if (confirm)
        return request_claim(state, round);
    on_held(state, outcome);
}

// Requires the lock of the job's shard. A job that was created, or first sent,
// after the records were lost has none among them.
bool entry_service::may_lack_record(const job_state& state,
                                    const claim_outcome& outcome) const
{
    const auto lost = outcome->records_lost_at;
    if (!lost)
        return false;
    if (!state.submitted->dated)
        return state.accepted <=
               *lost + ledger_options().max_undated_resubmission_delay;
    const auto age =
        std::chrono::duration_cast<wall_time::duration>(hooks_.now() - *lost);
    return state.submitted->created <=
           hooks_.wall() - age + 2 * options_.clock_skew;
}

// Claims are granted more than a second after a loss, so those after a later
// loss get a later round. Numbers of attempts stay below 2^31, as a worker may
// store them in 32 bits.
//! @return zero if no record was lost.
claim_round entry_service::round_after_loss(const claim_outcome& outcome) const
{
    const auto lost = outcome->records_lost_at;
    if (!lost)
        return claim_round();
    constexpr std::uint64_t period = 16384;
    const auto age =
        std::chrono::duration_cast<wall_time::duration>(hooks_.now() - *lost);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        (hooks_.wall() - age).time_since_epoch());
    return claim_round(first_round_after_loss.number() +
                       static_cast<std::uint64_t>(seconds.count()) % period);
}

void entry_service::on_held(const job_pointer& state,
                            const claim_outcome& outcome)
{
    bool adopting = false;
    with_job(state,
             [&](job_state& it)
             {
                 it.claim_pending = false;
                 it.round = outcome->round;
                 it.claim_end = outcome->valid_until;
                 it.reach = it.requested_reach;
                 it.run.set_base(attempt_base(outcome->round));
                 adopting = it.needs_adoption;
                 it.stage = adopting ? job_stage::adopting : job_stage::running;
                 it.awaiting_status = {it.earlier_agents.begin(),
                                       it.earlier_agents.end()};
                 it.adoption_began = hooks_.now();
                 it.recovery_end =
                     it.adoption_began + options_.adoption_timeout;
             });
    write_event(log_level::info, part, state->id, "claimed",
                {{"round", static_cast<std::int64_t>(outcome->round.number())},
                 {"adopts", adopting ? "yes" : "no"}});
    if (!adopting)
    {
        if (const auto refused = refuse_admission(state, effect::not_run))
        {
            release_claim(state);
            return refuse(state, *refused);
        }
        return enqueue_waiting(state);
    }
    ++adopted_;
    write_log(log_level::info, part, state->id,
              "Job adopted; its earlier agents are queried.");
    link_earlier_agents(state);
    query_earlier_agents(state);
}

// The caller may resubmit the job.
//! @param ran  "not run" only for a job that no entry has started.
std::optional<job_answer>
entry_service::refuse_admission(const job_pointer& state, effect ran)
{
    auto refused = admission_.refuse(state->submitted, ran);
    if (refused)
        ++refused_;
    return refused;
}

void entry_service::on_not_held(const job_pointer& state,
                                const claim_outcome& outcome)
{
    release_claim(state);
    write_event(log_level::info, part, state->id, "not_claimed",
                {{"status", to_text(outcome->status)},
                 {"holder", outcome->holder_address}});
    const bool other = outcome->status == claim_status::held_by_other ||
                       outcome->status == claim_status::contested;
    bool forwarded = false;
    bool waits = false;
    const auto max_jitter =
        static_cast<std::uint64_t>(options_.claim_retry_delay.count());
    const duration jitter(
        hooks_.draw ? static_cast<duration::rep>(hooks_.draw(max_jitter)) : 0);
    with_job(state,
             [&](job_state& it)
             {
                 it.needs_adoption = false;
                 it.has_lost_record = false;
                 it.earlier_agents = {};
                 forwarded = it.stage == job_stage::forwarded;
                 waits = outcome->status == claim_status::holder_lost &&
                         it.submitted->idempotent &&
                         outcome->retry_at < it.deadline;
                 if (waits)
                     it.claim_retry_at = outcome->retry_at;
                 else if (other || forwarded)
                     it.claim_retry_at =
                         hooks_.now() + options_.claim_retry_delay + jitter;
             });
    if (!other && !forwarded && !waits)
        return refuse(state, claim_refusal(state->id, outcome->status));
    // A claim of an earlier incarnation of this entry has to expire.
    if (outcome->status == claim_status::held_by_other &&
        outcome->holder_address != options_.address)
        forward(state, outcome->holder_address);
}

// Frees the replicas that granted a claim without a quorum for other entries at
// once.
void entry_service::release_claim(const job_pointer& state)
{
    std::optional<claim_request> request;
    with_job(state,
             [&](const job_state& it) { request = release_request(it); });
    if (request)
        hooks_.claim(*request, [](const claim_outcome&) {});
}

// Requires the lock of the job's shard.
claim_request entry_service::release_request(const job_state& state) const
{
    auto options = request_for(state);
    options.release = true;
    options.reach = {};
    return claim_request(std::move(options));
}

void entry_service::forward(const job_pointer& state,
                            const std::string& address)
{
    bool send = false;
    with_job(state,
             [&](job_state& it)
             {
                 it.holder_address = address;
                 send = !it.forward_pending && !it.answer;
                 it.forward_pending = true;
                 it.stage = job_stage::forwarded;
                 it.claim_retry_at = hooks_.now() + options_.claim_lease / 2;
             });
    if (!send)
        return;
    hooks_.forward(address, state->submitted,
                   [this, state](const std::optional<job_answer>& answer)
                   { on_forwarded(state, answer); });
}

// If the holder can't be reached or no longer has the job, the claim is
// retried. The lease of a holder that is gone expires, and this entry adopts
// the job.
void entry_service::on_forwarded(const job_pointer& state,
                                 const std::optional<job_answer>& answer)
{
    const bool refused =
        answer && ((*answer)->reason == failure_reason::no_permit ||
                   (*answer)->reason == failure_reason::draining);
    bool use = false;
    with_job(
        state,
        [&](job_state& it)
        {
            it.forward_pending = false;
            use = answer && !refused && !it.answer &&
                  it.stage == job_stage::forwarded;
            if (!use && it.stage == job_stage::forwarded && !it.claim_pending)
                it.claim_retry_at = hooks_.now() + options_.claim_retry_delay;
        });
    if (!use)
        return;
    log_answered(state, *answer, "holder");
    answer_and_remove(state, *answer);
}

// A claim in flight may come to be held by votes that were given before a
// replica started again, for a whole lease from now at the longest. One that
// has lapsed keeps nobody out, but who claims the job next has to adopt it: its
// runs may go on.
std::vector<claim_request> entry_service::held_claims()
{
    const auto now = hooks_.now();
    std::vector<claim_request> held;
    for (const auto& state : open_jobs())
    {
        with_job(state,
                 [&](job_state& it)
                 {
                     if (!it.claim_pending && it.round == claim_round())
                         return;
                     auto options = request_for(it);
                     options.round = std::max(it.round, it.asked_round);
                     options.lapsed = now >= it.claim_end;
                     it.told_in_flight = it.told_in_flight || it.claim_pending;
                     if (!it.claim_pending)
                         options.lease =
                             std::max(it.claim_end - now, duration::zero());
                     held.emplace_back(std::move(options));
                 });
    }
    return held;
}

// A reach is extended by all linked agents, not only by those in agents_to_add:
// the list is then the same for all jobs, and replicas already have its number.
void entry_service::renew(const job_pointer& state)
{
    const auto usable = linked_reach();
    std::optional<claim_request> request;
    with_job(state,
             [&](job_state& it)
             {
                 if (it.answer || it.claim_pending || it.round == claim_round())
                     return;
                 it.claim_pending = true;
                 it.requested_reach = it.agents_to_add.empty()
                                          ? it.reach
                                          : it.reach.joined(usable);
                 it.agents_to_add.clear();
                 request = claim_request(request_for(it));
             });
    if (!request)
        return;
    hooks_.claim(*request,
                 [this, state, it = *request](const claim_outcome& outcome)
                 { on_renewed(state, it, outcome); });
}

// If a quorum recorded another round than that of this claim, another entry has
// held the claim. A majority that is gone is no such quorum.
void entry_service::on_renewed(const job_pointer& state,
                               const claim_request& asked,
                               const claim_outcome& outcome)
{
    const bool held = outcome->status == claim_status::held &&
                      outcome->confirmed && outcome->round == asked->round;
    const bool lost = outcome->status == claim_status::held_by_other ||
                      (outcome->status == claim_status::held && !held &&
                       !outcome->records_lost_at);
    bool unpark = false;
    std::vector<attempt_key> runs;
    with_job(
        state,
        [&](job_state& it)
        {
            it.claim_pending = false;
            if (it.answer)
                return;
            if (held)
            {
                it.claim_end = std::max(it.claim_end, outcome->valid_until);
                it.lapsed = false;
                it.reach = it.reach.joined(asked->reach);
                unpark = it.has_parked_tasks && it.stage == job_stage::running;
                it.has_parked_tasks = false;
            }
            if (!lost)
                return;
            runs = stoppable_runs(it);
            it.run.abandon(failure_reason::claim_lost,
                           "another entry took over the job", effect::unknown);
        });
    give_up_runs(state, runs);
    if (lost)
        return finish_if_complete(state);
    if (unpark)
        enqueue_waiting(state);
}

// A claim is renewed when less than a third of its lease is left, or when a
// task waits for an agent that is not in its reach yet.
void entry_service::maintain_claims(instant now)
{
    std::vector<job_pointer> renewals;
    std::vector<job_pointer> claims;
    for (const auto& state : open_jobs())
    {
        with_job(state,
                 [&](const job_state& it)
                 {
                     const bool claimed = it.stage == job_stage::running ||
                                          it.stage == job_stage::adopting;
                     const bool soon =
                         it.claim_end - now < options_.claim_lease / 3;
                     if (claimed && !it.claim_pending &&
                         (soon || !it.agents_to_add.empty()))
                         renewals.push_back(state);
                     if (!claimed && !it.claim_pending && it.claim_retry_at &&
                         now >= *it.claim_retry_at)
                         claims.push_back(state);
                 });
    }
    for (const auto& it : renewals)
        renew(it);
    for (const auto& it : claims)
        request_claim(it, claim_round());
}

} // namespace lagoonquay
