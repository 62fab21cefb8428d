#include "duplicate_members.hpp"

#include "lagoonquay/request/json_fields.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <set>
#include <vector>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

//! Parser events; stops at the first duplicate. Boost.JSON's own values keep
//! the last of two members without a word, so that two readers of the same
//! text could understand it differently.
struct member_watch
{
    using error_code = boost::system::error_code;

    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    std::vector<std::set<std::string, std::less<>>> open;
    std::string key;
    std::optional<std::string> duplicate;

    bool on_object_begin(error_code&)
    {
        open.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, error_code&)
    {
        open.pop_back();
        return true;
    }
    bool on_key_part(json::string_view part, std::size_t, error_code&)
    {
        key.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, error_code& ec)
    {
        key.append(part.data(), part.size());
        if (!open.back().insert(key).second)
        {
            duplicate = key;
            ec = json::error::syntax;
            return false;
        }
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
    bool on_array_begin(error_code&)
    {
        return true;
    }
    bool on_array_end(std::size_t, error_code&)
    {
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, error_code&)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, error_code&)
    {
        return true;
    }
    bool on_number_part(json::string_view, error_code&)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, error_code&)
    {
        return true;
    }
    bool on_uint64(std::uint64_t, json::string_view, error_code&)
    {
        return true;
    }
    bool on_double(double, json::string_view, error_code&)
    {
        return true;
    }
    bool on_bool(bool, error_code&)
    {
        return true;
    }
    bool on_null(error_code&)
    {
        return true;
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

} // namespace

std::optional<std::string> find_duplicate_member(std::string_view text)
{
    json::parse_options options;
    options.max_depth = json_depth_limit;
    json::basic_parser<member_watch> parser(options);
    boost::system::error_code ec;
    parser.write_some(false, text.data(), text.size(), ec);
    return parser.handler().duplicate;
}

} // namespace lagoonquay
