//! JSON encoding of the messages between an entry and an agent.
#pragma once

#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! Encodes messages as one frame.
std::string encode_frame(const std::vector<link_message>& messages);

//! Decodes a frame.
//! @return the messages in order, or malformed / unknown_message.
request_result<std::vector<link_message>> decode_frame(std::string_view text);

} // namespace lagoonquay
