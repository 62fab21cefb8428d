//! Checked reading of JSON objects with one error per document.
#pragma once

#include "lagoonquay/request/error.hpp"
#include "lagoonquay/request/time.hpp"

#include <boost/json/fwd.hpp>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! Deepest nesting that any of our documents may have.
constexpr std::size_t json_depth_limit = 16;

//! Largest integer that every JSON implementation keeps exactly.
constexpr std::uint64_t json_exact_limit = 9007199254740991ULL;

//! Parses one JSON document.
//! @return the value, or malformed. Checks UTF-8 and json_depth_limit, and that
//! the memory of the value is in proportion to its text.
request_result<boost::json::value> parse_json(std::string_view text);

//! Parses a document from outside the fleet. @return the value, or malformed;
//! a member that stands twice in an object is malformed too, and an object of
//! very many members.
request_result<boost::json::value> parse_outside_json(std::string_view text);

//! Reads the members of one object. The first error sticks; later reads
//! return defaults. Not thread-safe.
class json_fields
{
public:
    //! @param where names the object in errors, such as "tasks[3]".
    json_fields(const boost::json::value& source, std::string where);

    //! Reads a required string of at most `longest` bytes.
    std::string text(std::string_view key, std::size_t longest);
    //! Reads a required id, which is_valid_id() must admit.
    std::string id(std::string_view key, std::size_t longest);
    //! Reads an optional string.
    std::string text_or(std::string_view key, std::string fallback,
                        std::size_t longest);
    //! Reads a required whole number.
    std::uint64_t number(std::string_view key, std::uint64_t least,
                         std::uint64_t most);
    //! Reads an optional whole number.
    std::uint64_t number_or(std::string_view key, std::uint64_t fallback,
                            std::uint64_t least, std::uint64_t most);
    //! Reads an optional boolean.
    bool flag_or(std::string_view key, bool fallback);
    //! Reads a 64-bit number that was written as a decimal string.
    std::uint64_t wide_number(std::string_view key);
    //! @return a required array, or nullptr after an error.
    const boost::json::array* array(std::string_view key);
    //! @return an object or value member, or nullptr if absent.
    const boost::json::value* member(std::string_view key);

    //! Rejects members other than these.
    void only(std::initializer_list<std::string_view> keys);

    //! Records an error unless there is one already.
    void reject(request_errc code, const std::string& detail);
    //! Takes over the error of a nested object.
    void absorb(const json_fields& nested);

    bool failed() const noexcept;
    const layer_error<request_errc>& error() const noexcept;

private:
    const boost::json::value* require(std::string_view key);

    const boost::json::object* object_ = nullptr;
    std::string where_;
    bool failed_ = false;
    layer_error<request_errc> error_;
};

} // namespace lagoonquay
