//! Search for members that stand twice in one JSON object.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! @param text  a valid JSON document.
//! @return the first member that stands twice in its object, if any.
std::optional<std::string> find_duplicate_member(std::string_view text);

} // namespace lagoonquay
