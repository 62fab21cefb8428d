//! Errors of the connection layer.
#pragma once

#include "lagoonquay/request/error.hpp"

namespace lagoonquay
{

//! What can go wrong with a connection.
enum class connection_errc
{
    bad_address, //!< not an IP number and port
    unreachable, //!< could not connect; nothing was sent
    refused,     //!< nothing listens there; nothing was sent
    timeout,     //!< no whole answer in time; the peer may have acted
    broken,      //!< the connection ended early; the peer may have acted
    too_large,   //!< the answer is over the limit; the peer has acted
};

template <typename T>
using connection_result = layer_result<T, connection_errc>;

//! @return whether the peer certainly received nothing.
constexpr bool nothing_sent(connection_errc code) noexcept
{
    return code == connection_errc::bad_address ||
           code == connection_errc::unreachable ||
           code == connection_errc::refused;
}

} // namespace lagoonquay
