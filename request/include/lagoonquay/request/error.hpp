//! Error value shared by the layers; each layer has its own code enum.
#pragma once

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>
#include <compare>
#include <string>

namespace lagoonquay
{

//! A layer's error code with a sentence for the reader.
template <typename Code>
struct layer_error
{
    Code code{};
    std::string detail;

    friend bool operator==(const layer_error&, const layer_error&) = default;
};

//! Either a value or an error of the layer that names Code.
template <typename T, typename Code>
using layer_result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, layer_error<Code>, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

//! @return a failed result; converts to any layer_result of the same Code.
template <typename Code>
auto fail(Code code, std::string detail)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(
        layer_error<Code>{code, std::move(detail)});
}

//! What can go wrong with a request's content.
enum class request_errc
{
    malformed,       //!< not JSON, or not the expected shape
    out_of_range,    //!< a number or a length is outside its limits
    unknown_message, //!< a message of an unknown type
};

template <typename T>
using request_result = layer_result<T, request_errc>;

} // namespace lagoonquay
