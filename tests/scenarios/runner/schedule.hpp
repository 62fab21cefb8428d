//! Random scenarios from a seed.
#pragma once

#include "scenario.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lagoonquay
{

//! @return the scenario that the seed stands for; the same on every machine.
std::vector<scenario_line> draw_schedule(std::uint64_t seed);

//! Drops lines as long as the rest still fails.
std::vector<scenario_line>
shorten(std::vector<scenario_line> lines,
        const std::function<bool(const std::vector<scenario_line>&)>& fails);

//! @return the text of a scenario.
std::string to_text(const std::vector<scenario_line>& lines);

} // namespace lagoonquay
