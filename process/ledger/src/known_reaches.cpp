#include "lagoonquay/process/known_reaches.hpp"

#include "lagoonquay/request/stable_hash.hpp"

#include <charconv>

namespace lagoonquay
{

// No id contains a line's end.
reach_digest digest_of(const agent_reach& reach)
{
    auto hash = stable_hash_start;
    for (const auto& it : reach)
    {
        hash = stable_hash(hash, it.agent.text());
        hash = stable_hash(hash, "\n");
        hash = stable_hash(hash, std::to_string(it.run.number()));
        hash = stable_hash(hash, "\n");
    }
    return reach_digest(mix_hash(hash));
}

reach_digests digests_of(const reaches_by_digest& reaches)
{
    reach_digests digests;
    for (const auto& [digest, reach] : reaches)
        digests.insert(digest);
    return digests;
}

std::string to_text(const reach_digests& digests)
{
    std::string text;
    for (const auto& it : digests)
        text += (text.empty() ? "" : ",") + std::to_string(it.number());
    return text;
}

std::optional<reach_digests> parse_reach_digests(std::string_view text)
{
    reach_digests digests;
    while (!text.empty())
    {
        std::uint64_t number = 0;
        const auto* const end = text.data() + text.size();
        const auto [rest, ec] = std::from_chars(text.data(), end, number);
        if (ec != std::errc() || (rest != end && *rest != ','))
            return std::nullopt;
        digests.insert(reach_digest(number));
        text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
        if (!text.empty())
            text.remove_prefix(1);
    }
    return digests;
}

void known_reaches::add(const std::vector<agent_reach>& told)
{
    const std::lock_guard lock(mutex_);
    for (const auto& it : told)
    {
        if (reaches_.size() < max_reaches)
            reaches_.try_emplace(digest_of(it), it);
    }
}

reaches_by_digest known_reaches::current() const
{
    const std::lock_guard lock(mutex_);
    return reaches_;
}

} // namespace lagoonquay
