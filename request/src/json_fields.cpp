#include "lagoonquay/request/json_fields.hpp"

#include "document_check.hpp"
#include "lagoonquay/request/text.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

std::string quoted(std::string_view key)
{
    return "'" + std::string(key) + "'";
}

//! Parses what has been checked.
request_result<json::value> parse_checked(std::string_view text)
{
    json::parse_options options;
    options.max_depth = json_depth_limit;
    boost::system::error_code ec;
    auto parsed = json::parse(text, ec, {}, options);
    if (ec)
        return fail(request_errc::malformed, "not JSON: " + ec.message());
    return parsed;
}

} // namespace

// The values of a document this short can't take more than the check allows.
request_result<json::value> parse_json(std::string_view text)
{
    constexpr std::size_t unchecked_bytes = 32UL * 1024;
    if (text.size() <= unchecked_bytes)
        return parse_checked(text);
    if (const auto waste = find_fleet_document_fault(text))
        return fail(request_errc::malformed, *waste);
    return parse_checked(text);
}

request_result<json::value> parse_outside_json(std::string_view text)
{
    if (const auto fault = find_outside_document_fault(text))
        return fail(request_errc::malformed, *fault);
    return parse_checked(text);
}

json_fields::json_fields(const json::value& source, std::string where)
    : object_(source.if_object()), where_(std::move(where))
{
    if (object_ == nullptr)
        reject(request_errc::malformed, "must be an object");
}

std::string json_fields::text(std::string_view key, std::size_t longest)
{
    const auto* it = require(key);
    if (it == nullptr)
        return {};
    const auto* found = it->if_string();
    if (found == nullptr)
    {
        reject(request_errc::malformed, quoted(key) + " must be a string");
        return {};
    }
    if (found->size() > longest)
    {
        reject(request_errc::out_of_range, quoted(key) + " is longer than " +
                                               std::to_string(longest) +
                                               " bytes");
        return {};
    }
    return std::string(found->data(), found->size());
}

std::string json_fields::id(std::string_view key, std::size_t longest)
{
    auto found = text(key, longest);
    if (!failed() && !is_valid_id(found))
        reject(request_errc::out_of_range,
               quoted(key) + " must be letters, digits, '.', '_', ':' or '-' "
                             "and begin with a letter or a digit");
    return found;
}

std::string json_fields::text_or(std::string_view key, std::string fallback,
                                 std::size_t longest)
{
    return member(key) == nullptr ? std::move(fallback) : text(key, longest);
}

std::uint64_t json_fields::number(std::string_view key, std::uint64_t least,
                                  std::uint64_t most)
{
    const auto* it = require(key);
    if (it == nullptr)
        return least;
    boost::system::error_code ec;
    const auto found = it->to_number<std::uint64_t>(ec);
    if (ec || !it->is_number())
    {
        reject(request_errc::malformed,
               quoted(key) + " must be a whole number");
        return least;
    }
    if (found < least || found > most)
    {
        reject(request_errc::out_of_range, quoted(key) + " must be from " +
                                               std::to_string(least) + " to " +
                                               std::to_string(most));
        return least;
    }
    return found;
}

std::uint64_t json_fields::number_or(std::string_view key,
                                     std::uint64_t fallback,
                                     std::uint64_t least, std::uint64_t most)
{
    return member(key) == nullptr ? fallback : number(key, least, most);
}

bool json_fields::flag_or(std::string_view key, bool fallback)
{
    const auto* it = member(key);
    if (it == nullptr)
        return fallback;
    if (const auto* found = it->if_bool())
        return *found;
    reject(request_errc::malformed, quoted(key) + " must be true or false");
    return fallback;
}

std::uint64_t json_fields::wide_number(std::string_view key)
{
    constexpr std::size_t longest = 20;
    const auto digits = text(key, longest);
    std::uint64_t number = 0;
    const auto* end = digits.data() + digits.size();
    const auto [last, ec] = std::from_chars(digits.data(), end, number);
    if (!failed() && (digits.empty() || ec != std::errc() || last != end))
        reject(request_errc::malformed,
               quoted(key) + " must be a decimal number in a string");
    return number;
}

const json::array* json_fields::array(std::string_view key)
{
    const auto* it = require(key);
    if (it == nullptr)
        return nullptr;
    const auto* found = it->if_array();
    if (found == nullptr)
        reject(request_errc::malformed, quoted(key) + " must be an array");
    return found;
}

const json::value* json_fields::member(std::string_view key)
{
    return object_ == nullptr ? nullptr : object_->if_contains(key);
}

void json_fields::only(std::initializer_list<std::string_view> keys)
{
    if (object_ == nullptr)
        return;
    for (const auto& it : *object_)
    {
        if (std::find(keys.begin(), keys.end(), it.key()) != keys.end())
            continue;
        reject(request_errc::malformed, quoted(it.key()) + " is unknown");
    }
}

void json_fields::reject(request_errc code, const std::string& detail)
{
    if (failed_)
        return;
    failed_ = true;
    error_ = {code, where_.empty() ? detail : where_ + ": " + detail};
}

void json_fields::absorb(const json_fields& nested)
{
    if (failed_ || !nested.failed_)
        return;
    failed_ = true;
    error_ = nested.error_;
}

bool json_fields::failed() const noexcept
{
    return failed_;
}

const layer_error<request_errc>& json_fields::error() const noexcept
{
    return error_;
}

const json::value* json_fields::require(std::string_view key)
{
    const auto* it = member(key);
    if (it == nullptr)
        reject(request_errc::malformed, quoted(key) + " is missing");
    return it;
}

} // namespace lagoonquay
