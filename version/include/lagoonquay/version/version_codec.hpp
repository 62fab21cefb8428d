//! JSON encoding of commands, heartbeats and votes.
#pragma once

#include "lagoonquay/version/command.hpp"
#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/member.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace lagoonquay
{

using odd_member_hook = std::function<void(const std::string& reason)>;

std::string encode_command(const command& asked);
//! @return the command, or malformed.
version_result<command> decode_command(std::string_view text);

std::string encode_outcome(const command_outcome& outcome);
//! @return the outcome, or malformed.
version_result<command_outcome> decode_outcome(std::string_view text);

std::string encode_command_answer(const command_answer& answer);
//! @return the answer, or malformed.
version_result<command_answer> decode_command_answer(std::string_view text);

std::string encode_permit_request(const permit_request& request);
//! @return the request, or malformed.
version_result<permit_request> decode_permit_request(std::string_view text);

std::string encode_permit_reply(const permit_reply& reply);
//! @return the reply, or malformed.
//! @param on_odd  gets the reason for each member that can't be read; the
//! others count.
version_result<permit_reply>
decode_permit_reply(std::string_view text, const odd_member_hook& on_odd = {});

} // namespace lagoonquay
