//! Choosing some of many over failure domains.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoonquay
{

//! One that may be chosen; those with a high score come first.
struct spread_candidate
{
    domain_id domain;
    std::uint64_t score = 0;
};

//! @return the candidates' positions: first the best of each failure domain,
//! then the second best of each, and so on; by score among these.
std::vector<std::size_t>
spread_over_domains(const std::vector<spread_candidate>& candidates);

} // namespace lagoonquay
