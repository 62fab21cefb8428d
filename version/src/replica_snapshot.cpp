// Snapshots: compaction, sending in chunks and installing.
#include "lagoonquay/version/replica.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t most_snapshot_bytes = 256ULL * 1024 * 1024;

//! @return the end of a chunk that splits no UTF-8 sequence.
std::size_t chunk_end(const std::string& data, std::size_t begin,
                      std::size_t size) noexcept
{
    constexpr unsigned mask = 0xC0U;
    constexpr unsigned continuation = 0x80U;
    auto end = std::min(begin + size, data.size());
    while (end < data.size() && end > begin + 1 &&
           (static_cast<unsigned char>(data[end]) & mask) == continuation)
        --end;
    return end;
}

} // namespace

void replica::compact(std::string data)
{
    const auto term = log_.term_at(commit_);
    if (!term || commit_ < log_.first())
        return;
    const auto base = std::make_shared<const log_snapshot>(log_snapshot{
        commit_, *term, log_.members_at(commit_), std::move(data)});
    log_.compact(base);
    auto& write = open_write();
    write.install = base;
    write.entries = uncommitted();
}

void replica::send_chunk(const node_id& to, progress& target)
{
    if (!target.sending)
    {
        target.sending = log_.base();
        target.offset = 0;
    }
    const auto& base = *target.sending;
    const auto end = chunk_end(base.data, target.offset, options_.chunk_bytes);
    send(to,
         snapshot_chunk{
             .term = state_.term,
             .index = base.index,
             .index_term = base.term,
             .members = base.members,
             .offset = target.offset,
             .total = base.data.size(),
             .data = base.data.substr(target.offset, end - target.offset)},
         false);
}

void replica::on(const node_id& from, const snapshot_chunk& chunk)
{
    if (chunk.term < state_.term || chunk.total > most_snapshot_bytes)
        return;
    become_follower(chunk.term, from);
    if (chunk.index <= commit_)
    {
        incoming_.reset();
        return send(from,
                    append_reply{.term = state_.term,
                                 .accepted = true,
                                 .match = commit_,
                                 .previous = commit_},
                    true);
    }
    if (!incoming_ || incoming_->index != chunk.index ||
        incoming_->term != chunk.index_term)
        incoming_ = incoming_snapshot{chunk.index, chunk.index_term, {}};
    auto& data = incoming_->data;
    if (chunk.offset == data.size())
        data += chunk.data;
    send(from, snapshot_reply{state_.term, chunk.index, data.size()}, false);
    if (data.size() == chunk.total)
    {
        install(chunk);
        send(from,
             append_reply{.term = state_.term,
                          .accepted = true,
                          .match = commit_,
                          .previous = commit_},
             true);
    }
}

void replica::install(const snapshot_chunk& chunk)
{
    const auto base = std::make_shared<const log_snapshot>(
        log_snapshot{chunk.index, chunk.index_term, chunk.members,
                     std::move(incoming_->data)});
    incoming_.reset();
    own_match_ = log_index();
    for (auto& it : writing_)
        it.last = log_index();
    log_.compact(base);
    commit_ = base->index;
    auto& write = open_write();
    write.install = base;
    write.entries = uncommitted();
    output_.restore = base;
    output_.committed.clear();
}

void replica::on(const node_id& from, const snapshot_reply& reply)
{
    const auto found = followers_.find(from);
    if (role_ != replica_role::leader || reply.term != state_.term ||
        found == followers_.end())
        return;
    auto& target = found->second;
    target.silent_ticks = 0;
    if (!target.sending || target.sending->index != reply.index)
        return;
    if (reply.offset > target.sending->data.size())
        return;
    const bool advanced = reply.offset != target.offset;
    target.offset = reply.offset;
    if (advanced && target.offset < target.sending->data.size())
        send_chunk(from, target);
}

} // namespace lagoonquay
