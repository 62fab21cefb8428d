#include "lagoonquay/version/memory_log.hpp"

#include <algorithm>

namespace lagoonquay
{

memory_log::memory_log(snapshot_handle base,
                       const std::vector<log_entry>& entries)
    : base_(std::move(base)), entries_(entries.begin(), entries.end())
{
    find_members();
}

log_index memory_log::first() const noexcept
{
    return log_index((base_ ? base_->index.number() : 0) + 1);
}

log_index memory_log::last() const noexcept
{
    return log_index(first().number() - 1 + entries_.size());
}

term_number memory_log::last_term() const noexcept
{
    return *term_at(last());
}

std::optional<term_number> memory_log::term_at(log_index index) const noexcept
{
    if (index.number() + 1 == first().number())
        return base_ ? base_->term : term_number();
    if (index < first() || index > last())
        return std::nullopt;
    return entries_[index.number() - first().number()].term;
}

std::vector<log_entry> memory_log::slice(log_index from, std::size_t most) const
{
    if (from < first() || from > last())
        return {};
    const auto skipped =
        static_cast<std::ptrdiff_t>(from.number() - first().number());
    const auto begin = entries_.begin() + skipped;
    const auto count = std::min<std::ptrdiff_t>(
        entries_.end() - begin, static_cast<std::ptrdiff_t>(most));
    return {begin, begin + count};
}

std::vector<log_entry> memory_log::slice(log_index from, std::size_t most,
                                         std::size_t most_bytes) const
{
    auto found = slice(from, most);
    std::size_t bytes = 0;
    std::size_t n = 0;
    for (const auto& it : found)
    {
        bytes += approximate_bytes(it);
        if (n > 0 && bytes > most_bytes)
            break;
        ++n;
    }
    found.resize(n);
    return found;
}

void memory_log::put(log_entry entry)
{
    const bool cuts = entry.index <= last();
    const bool adds_members = std::holds_alternative<membership>(entry.content);
    if (cuts)
        entries_.resize(entry.index.number() - first().number());
    entries_.push_back(std::move(entry));
    if (cuts || adds_members)
        find_members();
}

void memory_log::compact(snapshot_handle base)
{
    const bool keeps = term_at(base->index) == base->term;
    if (!keeps)
        entries_.clear();
    while (!entries_.empty() && entries_.front().index <= base->index)
        entries_.pop_front();
    base_ = std::move(base);
    find_members();
}

const snapshot_handle& memory_log::base() const noexcept
{
    return base_;
}

const membership& memory_log::members() const noexcept
{
    return members_;
}

log_index memory_log::members_index() const noexcept
{
    return members_index_;
}

membership memory_log::members_at(log_index index) const
{
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it)
    {
        const auto* found = std::get_if<membership>(&it->content);
        if (found != nullptr && it->index <= index)
            return *found;
    }
    return base_ ? base_->members : membership();
}

void memory_log::find_members()
{
    members_ = base_ ? base_->members : membership();
    members_index_ = base_ ? base_->index : log_index();
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it)
    {
        const auto* found = std::get_if<membership>(&it->content);
        if (found == nullptr)
            continue;
        members_ = *found;
        members_index_ = it->index;
        return;
    }
}

} // namespace lagoonquay
