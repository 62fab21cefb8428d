#include "lagoonquay/request/text.hpp"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace utf = boost::locale::utf;

namespace lagoonquay
{

namespace
{

bool is_letter_or_digit(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_id_character(char c) noexcept
{
    return is_letter_or_digit(c) || c == '.' || c == '_' || c == ':' ||
           c == '-';
}

//! @return the length of the character at the front, or 0 if there is none.
std::size_t character_bytes(std::string_view text) noexcept
{
    const auto* it = text.data();
    const auto* end = it + text.size();
    const auto decoded = utf::utf_traits<char>::decode(it, end);
    if (decoded == utf::illegal || decoded == utf::incomplete)
        return 0;
    return static_cast<std::size_t>(it - text.data());
}

} // namespace

bool is_valid_id(std::string_view text) noexcept
{
    return !text.empty() && is_letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), is_id_character);
}

bool is_valid_utf8(std::string_view text) noexcept
{
    while (!text.empty())
    {
        const auto n = character_bytes(text);
        if (n == 0)
            return false;
        text.remove_prefix(n);
    }
    return true;
}

std::string to_valid_utf8(std::string_view text, std::size_t longest)
{
    std::string valid;
    while (!text.empty())
    {
        const auto n = character_bytes(text);
        const auto step = std::max<std::size_t>(n, 1);
        if (valid.size() + step > longest)
            break;
        valid.append(n == 0 ? std::string_view("?") : text.substr(0, step));
        text.remove_prefix(step);
    }
    return valid;
}

} // namespace lagoonquay
