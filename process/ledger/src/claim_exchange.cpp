#include "claim_exchange.hpp"

namespace lagoonquay
{

claim_exchange::claim_exchange(claim_exchange_options options,
                               claim_request named,
                               std::vector<replica_group> groups,
                               claim_callback done)
    : options_(std::move(options)), asked_(std::move(named)),
      done_(std::move(done)), poll_(asked_, std::move(groups), options_.now())
{
}

void claim_exchange::start(const std::optional<claim_vote>& local)
{
    claim_step step;
    {
        const std::lock_guard lock(mutex_);
        step = poll_.start(local);
    }
    take(step);
}

void claim_exchange::pass_over_silent()
{
    claim_step step;
    std::set<endpoint> silent;
    {
        const std::lock_guard lock(mutex_);
        silent = poll_.pending();
        step = poll_.pass_over_silent();
    }
    for (const auto& it : silent)
        options_.silent->note_silent(it, options_.now());
    take(step);
}

void claim_exchange::on_answer(const endpoint& replica, instant sent,
                               const claim_answer& answer)
{
    if (answer.vote)
        options_.times->note(options_.now() - sent);
    if (answer.vote)
        options_.silent->note_heard(replica);
    else
        options_.silent->note_silent(replica, options_.now());
    claim_step step;
    {
        const std::lock_guard lock(mutex_);
        step = poll_.add(replica, answer);
    }
    take(step);
}

void claim_exchange::take(const claim_step& step)
{
    if (step.outcome)
        return done_(*step.outcome);
    for (const auto& it : step.ask)
        options_.sender->send(it, asked_,
                              [self = shared_from_this(), it,
                               sent = options_.now()](const auto& answer)
                              { self->on_answer(it, sent, answer); });
}

} // namespace lagoonquay
