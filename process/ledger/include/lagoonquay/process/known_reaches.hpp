//! Reaches that need not be told again, since the other side has them.
#pragma once

#include "lagoonquay/process/agent_reach.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Names a set of agents; the same in every process and build.
using reach_digest = number_id<struct reach_digest_tag>;

reach_digest digest_of(const agent_reach& reach);

using reach_digests = std::set<reach_digest>;
using reaches_by_digest = std::map<reach_digest, agent_reach>;

reach_digests digests_of(const reaches_by_digest& reaches);

//! @return the digests as decimal numbers with commas between them.
std::string to_text(const reach_digests& digests);
//! @return nothing if the text is no such list.
std::optional<reach_digests> parse_reach_digests(std::string_view text);

//! The first few reaches that peers told. Keeps what it has, so that a peer's
//! answer may name any that it was asked with. Thread-safe.
class known_reaches
{
public:
    static constexpr std::size_t max_reaches = 8;

    void add(const std::vector<agent_reach>& told);
    reaches_by_digest current() const;

private:
    mutable std::mutex mutex_;
    reaches_by_digest reaches_;
};

} // namespace lagoonquay
