//! Shorthands for the Beast and Asio types of this folder's sources.
#pragma once

#include "lagoonquay/connection/error.hpp"
#include "lagoonquay/request/time.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/websocket.hpp>
#include <memory>

namespace lagoonquay
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace websocket = boost::beast::websocket;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

} // namespace lagoonquay
