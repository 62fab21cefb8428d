//! Checks of text that comes from outside.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! @return whether `text` may be an id of a submission or a customer: letters,
//! digits and ". _ : -", beginning with a letter or a digit. Such an id needs
//! no escaping in a path, a query, a log line or JSON.
bool is_valid_id(std::string_view text) noexcept;

//! @return whether `text` is valid UTF-8.
bool is_valid_utf8(std::string_view text) noexcept;

//! @return the beginning of `text`, at most `longest` bytes, as valid UTF-8;
//! each byte that belongs to no character becomes a question mark.
std::string to_valid_utf8(std::string_view text, std::size_t longest);

} // namespace lagoonquay
