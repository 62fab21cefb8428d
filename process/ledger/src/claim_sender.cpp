#include "claim_sender.hpp"

#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "ledger";

http_request request_of(const claim_request& asked)
{
    return {.method = http_method::post,
            .path = "/v1/ledger/claim",
            .query = {},
            .body = encode_claim_request(asked),
            .bearer = {}};
}

// A refused connection means that no process listens on the port any more, so
// the replica's process has ended.
claim_answer read_answer(const connection_result<http_response>& answer)
{
    if (!answer)
        return {.vote = {},
                .gone = answer.error().code == connection_errc::refused};
    if (answer.value().status != http_status::ok)
        return {};
    auto vote = decode_claim_vote(answer.value().body);
    if (vote)
        return {.vote = std::move(vote).value()};
    write_log(log_level::warning, part,
              "Cannot decode the vote of a ledger replica: " +
                  vote.error().detail + ".");
    return {};
}

} // namespace

claim_sender::claim_sender(http_client& client, duration timeout) noexcept
    : client_(client), timeout_(timeout)
{
}

claim_request claim_sender::name(const claim_request& asked)
{
    return reaches_.name(asked);
}

void claim_sender::send(const endpoint& replica, const claim_request& named,
                        const claim_answer_hook& done)
{
    const auto number = named->named_reach;
    const bool numbered = number != reach_number();
    const bool leave_out = numbered && reaches_.told(replica, number);
    const auto asked = named.with([&](claim_request_options& it)
                                  { it.tells_reach = !leave_out; });
    const auto on_answer = [self = shared_from_this(), replica, named, numbered,
                            leave_out,
                            done](const connection_result<http_response>& it)
    {
        const auto answer = read_answer(it);
        const bool unknown = answer.vote && (*answer.vote)->verdict ==
                                                claim_verdict::unknown_reach;
        if (unknown && leave_out)
        {
            self->reaches_.forget(replica);
            return self->send(replica, named, done);
        }
        if (answer.vote && numbered)
            self->reaches_.note_told(replica, named->named_reach);
        done(answer);
    };
    client_.send(replica, request_of(asked), timeout_, on_answer);
}

} // namespace lagoonquay
