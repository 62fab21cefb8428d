#include "document_check.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <set>
#include <vector>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

//! About what a parsed value takes, and what the name of a member adds.
constexpr std::size_t value_bytes = 24;
constexpr std::size_t member_bytes = 48;
//! Memory that the values of any document may take, and what longer ones may
//! take more. The fleet's own documents may take more, so that what was
//! accepted from outside is not refused when it is passed on.
constexpr std::size_t memory_allowance = 2UL * 1024 * 1024;
constexpr std::size_t max_memory_per_text_byte = 5;
constexpr std::size_t max_memory_per_outside_text_byte = 4;

//! Parser events; stops at the first fault. Boost.JSON's own values keep the
//! last of two members without a word, so that two readers of the same text
//! could understand it differently.
struct document_watch
{
    using error_code = boost::system::error_code;

    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    std::size_t max_bytes = 0;
    bool from_outside = false;

    std::size_t bytes = 0;
    std::vector<std::set<std::string, std::less<>>> open;
    std::string key;
    std::optional<std::string> fault;

    bool stop(std::string why, error_code& ec)
    {
        fault = std::move(why);
        ec = json::error::syntax;
        return false;
    }
    bool count(std::size_t more, error_code& ec)
    {
        bytes += more;
        return bytes <= max_bytes ||
               stop("the document has too many short members or elements", ec);
    }

    bool on_object_begin(error_code& ec)
    {
        if (from_outside)
            open.emplace_back();
        return count(value_bytes, ec);
    }
    bool on_object_end(std::size_t, error_code&)
    {
        if (from_outside)
            open.pop_back();
        return true;
    }
    bool on_key_part(json::string_view part, std::size_t, error_code&)
    {
        if (from_outside)
            key.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, error_code& ec)
    {
        if (!count(member_bytes, ec))
            return false;
        if (!from_outside)
            return true;
        key.append(part.data(), part.size());
        auto& names = open.back();
        if (!names.insert(key).second)
            return stop("'" + key + "' stands twice in an object", ec);
        if (names.size() > max_object_members)
            return stop("an object has too many members", ec);
        key.clear();
        return true;
    }
    bool on_document_begin(error_code&)
    {
        return true;
    }
    bool on_document_end(error_code&)
    {
        return true;
    }
    bool on_array_begin(error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_array_end(std::size_t, error_code&)
    {
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, error_code&)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_number_part(json::string_view, error_code&)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_uint64(std::uint64_t, json::string_view, error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_double(double, json::string_view, error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_bool(bool, error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_null(error_code& ec)
    {
        return count(value_bytes, ec);
    }
    bool on_comment_part(json::string_view, error_code&)
    {
        return true;
    }
    bool on_comment(json::string_view, error_code&)
    {
        return true;
    }
};

std::optional<std::string> find_with(std::string_view text,
                                     document_watch watch)
{
    json::parse_options options;
    options.max_depth = json_depth_limit;
    json::basic_parser<document_watch> parser(options, std::move(watch));
    boost::system::error_code ec;
    parser.write_some(false, text.data(), text.size(), ec);
    return parser.handler().fault;
}

} // namespace

std::optional<std::string> find_fleet_document_fault(std::string_view text)
{
    document_watch watch;
    watch.max_bytes = memory_allowance + max_memory_per_text_byte * text.size();
    return find_with(text, std::move(watch));
}

std::optional<std::string> find_outside_document_fault(std::string_view text)
{
    document_watch watch;
    watch.max_bytes =
        memory_allowance + max_memory_per_outside_text_byte * text.size();
    watch.from_outside = true;
    return find_with(text, std::move(watch));
}

} // namespace lagoonquay
