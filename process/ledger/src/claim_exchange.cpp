#include "claim_exchange.hpp"

namespace lagoonquay
{

claim_exchange::claim_exchange(claim_exchange_options options,
                               claim_request named,
                               const std::vector<endpoint>& replicas,
                               claim_callback done)
    : options_(std::move(options)), asked_(std::move(named)),
      replicas_(options_.order->arrange(asked_->submission, replicas,
                                        options_.now())),
      done_(std::move(done)),
      tally_(replicas.size() + 1, asked_->lease, options_.now())
{
}

void claim_exchange::start(const claim_vote& local)
{
    add({.vote = local});
    {
        const std::lock_guard lock(mutex_);
        if (decided_)
            return;
    }
    const bool granted = local->verdict == claim_verdict::granted;
    ask(first_asked() + (granted ? 0 : 1));
}

void claim_exchange::pass_over_silent()
{
    std::set<endpoint> silent;
    {
        const std::lock_guard lock(mutex_);
        if (decided_)
            return;
        silent = pending_;
    }
    for (const auto& it : silent)
        options_.order->note_silent(it, options_.now());
    ask(silent.size());
}

// A claim that is given up is given up wherever it may be known.
std::size_t claim_exchange::first_asked() const noexcept
{
    return asked_->release ? replicas_.size() : (replicas_.size() + 1) / 2;
}

void claim_exchange::ask(std::size_t count)
{
    std::vector<endpoint> targets;
    {
        const std::lock_guard lock(mutex_);
        while (count > targets.size() && next_ < replicas_.size())
            targets.push_back(replicas_[next_++]);
        pending_.insert(targets.begin(), targets.end());
    }
    for (const auto& it : targets)
        options_.sender->send(
            it, asked_,
            [self = shared_from_this(), it](const auto& answer)
            { self->on_answer(it, answer); });
}

void claim_exchange::on_answer(const endpoint& replica,
                               const claim_answer& answer)
{
    if (answer.vote)
        options_.order->note_heard(replica);
    else
        options_.order->note_silent(replica, options_.now());
    {
        const std::lock_guard lock(mutex_);
        pending_.erase(replica);
    }
    ask(add(answer));
}

std::size_t claim_exchange::add(const claim_answer& answer)
{
    std::optional<claim_outcome> outcome;
    std::size_t more = 0;
    {
        const std::lock_guard lock(mutex_);
        outcome = answer.gone ? tally_.add_gone() : tally_.add(answer.vote);
        decided_ = decided_ || outcome;
        if (!decided_)
            more = wanted_after(answer);
    }
    if (outcome)
        done_(*outcome);
    return more;
}

// Call under the lock. Once all have granted it without a decision, their
// rounds differ, and only the others can spare the holder another trip.
std::size_t claim_exchange::wanted_after(const claim_answer& answer) const
{
    const bool granted =
        answer.vote && (*answer.vote)->verdict == claim_verdict::granted;
    if (!granted)
        return 1;
    return pending_.empty() ? replicas_.size() : 0;
}

} // namespace lagoonquay
