// Claims at groups of replicas, as ledger_client, claim_exchange and
// claim_sender make them.
#include "listed_ledger_parts.hpp"

#include "lagoonquay/process/claim_quorum.hpp"
#include "lagoonquay/process/entry_http.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/log.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

std::string_view to_text(claim_verdict verdict)
{
    constexpr std::string_view names[] = {
        "granted", "held", "closed", "mismatch", "fenced", "unknown_reach"};
    return names[static_cast<std::size_t>(verdict)];
}

std::string_view kind_of(const claim_request& it)
{
    if (it->release)
        return "release";
    if (it->close)
        return "close";
    if (it->lookup)
        return "lookup";
    return it->round == claim_round() ? "claim" : "renewal";
}

void log_vote(const claim_request& asked, const claim_vote& vote)
{
    if (asked->submission.empty())
        return;
    write_event(
        log_level::info, "ledger", asked->submission, "voted",
        {{"asked", kind_of(asked)},
         {"by", asked->holder.text()},
         {"ask", static_cast<std::int64_t>(asked->ask.number())},
         {"verdict", to_text(vote->verdict)},
         {"round", static_cast<std::int64_t>(vote->round.number())},
         {"first_claim_age", vote->first_claim_age.count() > 0 ? "older" : "0"},
         {"holder", vote->holder_address}});
}

std::string text_of(const std::vector<replica_group>& groups)
{
    std::string text;
    for (const auto& it : groups)
    {
        text += it.local ? "[self" : "[";
        for (const auto& other : it.others)
            text += " " + std::to_string(entry_number(other));
        text += it.includes_all_entries ? " all]" : "]";
    }
    return text;
}

} // namespace

//! Carries out the steps of a claim_quorum. Owned by its requests in flight.
struct listed_ledger::exchange : std::enable_shared_from_this<exchange>
{
    exchange(listed_ledger& owner, host_pointer sender, claim_request request,
             std::vector<replica_group> groups, claim_callback callback)
        : ledger(owner), from(std::move(sender)), asked(std::move(request)),
          quorum(asked, std::move(groups), owner.fleet_.time().now()),
          done(std::move(callback))
    {
    }

    //! @return the replicas that an entry asks about a submission.
    static std::vector<replica_group> groups_of(const listed_ledger& ledger,
                                                const host& at,
                                                const submission_id& submission)
    {
        if (submission.empty())
            return {all_replicas_group(submission, at.peers->current())};
        return choose_replica_groups(submission, ledger.as_peer(at),
                                     at.peers->replicas());
    }

    //! The replica's side, with the product's codec.
    //! @return nothing if it refuses the request.
    static std::optional<claim_vote>
    vote_of(const listed_ledger& ledger, host& at, const claim_request& request)
    {
        const auto answer = claim_response(
            *at.replica, encode_claim_request(request),
            [&at](const entry_id& holder, incarnation run)
            { return at.peers->is_unlisted(holder, run); },
            [&](const claim_vote& vote, const claim_request& it)
            {
                return at.peers->tell_entries(
                    vote, it,
                    [&](const submission_id& submission)
                    { return groups_of(ledger, at, submission); });
            });
        if (answer.status != http_status::ok)
        {
            write_event(log_level::info, "ledger", request->submission,
                        "refused", {{"by", request->holder.text()}});
            return std::nullopt;
        }
        auto vote = decode_claim_vote(answer.body).value();
        log_vote(request, vote);
        if (ledger.on_vote && !request->submission.empty())
            ledger.on_vote(at.number, request);
        return vote;
    }

    void carry_out(const claim_step& step)
    {
        if (step.outcome)
            return done(*step.outcome);
        for (const auto& it : step.ask)
            ledger.send_claim(
                from, it, asked,
                [self = shared_from_this(), it,
                 sent = ledger.fleet_.time().now()](const claim_answer& answer)
                { self->on_answer(it, sent, answer); });
    }

    void on_answer(const endpoint& replica, instant sent,
                   const claim_answer& answer)
    {
        const auto now = ledger.fleet_.time().now();
        if (answer.vote)
        {
            from->response_times.add_sample(now - sent);
            from->unresponsive.note_responsive(replica);
        }
        else
            from->unresponsive.note_unresponsive(replica, now);
        std::vector<replica_group> more;
        if (answer.vote)
            more = from->peers->note_vote(replica, asked, *answer.vote);
        if (!more.empty() && !asked->submission.empty())
            write_event(log_level::info, "ledger", asked->submission,
                        "told_of_groups", {{"groups", text_of(more)}});
        carry_out(quorum.add(replica, from->ended.note(replica, answer, now),
                             std::move(more)));
    }

    void hedge_pending()
    {
        const auto pending = quorum.pending();
        const auto step = quorum.hedge_pending();
        for (const auto& it : pending)
            from->unresponsive.note_unresponsive(it,
                                                 ledger.fleet_.time().now());
        carry_out(step);
    }

    listed_ledger& ledger;
    host_pointer from;
    const claim_request asked;
    claim_quorum quorum;
    const claim_callback done;
};

ledger_peer listed_ledger::as_peer(const host& at) const
{
    const auto domain = at.number % options_.domains;
    return {entry_address(at.number), domain_id("d" + std::to_string(domain))};
}

void listed_ledger::claim(std::size_t from, const claim_request& asked,
                          claim_callback done)
{
    const auto own = hosts_[from];
    held_.on_request(asked);
    const auto numbered = own->reaches.name(own->peers->tell_entries(asked));
    auto groups = exchange::groups_of(*this, *own, asked->submission);
    std::optional<claim_vote> vote;
    if (std::any_of(groups.begin(), groups.end(),
                    [](const replica_group& it) { return it.local; }))
        vote = own->replica->claim(numbered);
    if (vote)
        log_vote(numbered, *vote);
    if (!asked->submission.empty())
        write_event(log_level::info, "ledger", asked->submission, "asks",
                    {{"kind", kind_of(numbered)}, {"groups", text_of(groups)}});
    for (auto& it : groups)
        it.others = own->unresponsive.order_unresponsive_last(
            std::move(it.others), fleet_.time().now());
    const auto made = std::make_shared<exchange>(
        *this, own, numbered, std::move(groups),
        [this, from, asked, callback = std::move(done)](const claim_outcome& it)
        {
            held_.on_outcome(from, asked, it);
            callback(it);
        });
    made->carry_out(made->quorum.start(vote));
    fleet_.time().after(
        own->response_times.patience(), [this, own, made]
        { fleet_.deliver(own->process, [made] { made->hedge_pending(); }); });
}

void listed_ledger::send_claim(
    const host_pointer& from, const endpoint& replica,
    const claim_request& asked,
    const std::function<void(const claim_answer&)>& done)
{
    const auto number = asked->cached_reach_number;
    const bool omit =
        number != reach_number() && from->reaches.is_delivered(replica, number);
    const auto request = asked.with(
        [&](claim_request_options& it)
        {
            it.contains_reach = !omit;
            if (omit)
                it.reach = {};
        });
    const auto take_vote =
        [this, from, replica, asked, number, omit, done](const claim_vote& vote)
    {
        if (omit && vote->verdict == claim_verdict::unknown_reach)
        {
            from->reaches.forget(replica);
            return send_claim(from, replica, asked, done);
        }
        if (number != reach_number())
            from->reaches.note_delivered(replica, number);
        done({.vote = vote});
    };
    send(from, entry_number(replica),
         {.serve = [this, request, take_vote,
                    done](host& at) -> virtual_time::event
          {
              const auto vote = exchange::vote_of(*this, at, request);
              if (!vote)
                  return [done]
                  {
                      done({});
                  };
              return [take_vote, it = *vote]
              {
                  take_vote(it);
              };
          },
          .fail =
              [this, from, done](bool refused)
          {
              done({.vote = {},
                    .gone =
                        refused &&
                        fleet_.entry(from->number).is_in_touch_with_control()});
          }});
}

} // namespace lagoonquay
