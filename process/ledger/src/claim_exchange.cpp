#include "claim_exchange.hpp"

namespace lagoonquay
{

claim_exchange::claim_exchange(claim_exchange_options options,
                               claim_request request,
                               std::vector<replica_group> groups,
                               claim_callback done)
    : options_(std::move(options)), request_(std::move(request)),
      done_(std::move(done)),
      quorum_(request_, std::move(groups), options_.now())
{
}

void claim_exchange::start(const std::optional<claim_vote>& local)
{
    claim_step step;
    {
        const std::lock_guard lock(mutex_);
        step = quorum_.start(local);
    }
    carry_out(step);
}

void claim_exchange::hedge_pending()
{
    claim_step step;
    std::set<endpoint> pending;
    {
        const std::lock_guard lock(mutex_);
        pending = quorum_.pending();
        step = quorum_.hedge_pending();
    }
    for (const auto& it : pending)
        options_.unresponsive->note_unresponsive(it, options_.now());
    carry_out(step);
}

void claim_exchange::on_answer(const endpoint& replica, instant sent,
                               const claim_answer& answer)
{
    if (answer.vote)
        options_.response_times->add_sample(options_.now() - sent);
    if (answer.vote)
        options_.unresponsive->note_responsive(replica);
    else
        options_.unresponsive->note_unresponsive(replica, options_.now());
    const auto noted = options_.ended->note(replica, answer, options_.now());
    std::vector<replica_group> more;
    if (answer.vote && options_.told_groups)
        more = options_.told_groups(replica, request_, *answer.vote);
    claim_step step;
    {
        const std::lock_guard lock(mutex_);
        step = quorum_.add(replica, noted, std::move(more));
    }
    carry_out(step);
}

void claim_exchange::carry_out(const claim_step& step)
{
    if (step.outcome)
        return done_(*step.outcome);
    for (const auto& it : step.ask)
        options_.sender->send(it, request_,
                              [self = shared_from_this(), it,
                               sent = options_.now()](const auto& answer)
                              { self->on_answer(it, sent, answer); });
}

} // namespace lagoonquay
