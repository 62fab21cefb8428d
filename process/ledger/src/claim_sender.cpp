#include "claim_sender.hpp"

#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/log.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "ledger";

http_request request_of(const claim_request& claim)
{
    return {.method = http_method::post,
            .path = "/v1/ledger/claim",
            .query = {},
            .body = encode_claim_request(claim),
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

claim_request claim_sender::assign_reach_number(const claim_request& request)
{
    return sent_reaches_.name(request);
}

void claim_sender::send(const endpoint& replica, const claim_request& request,
                        const claim_answer_hook& done)
{
    const auto number = request->cached_reach_number;
    const bool has_number = number != reach_number();
    const bool omit_reach =
        has_number && sent_reaches_.is_delivered(replica, number);
    const auto claim = request.with([&](claim_request_options& it)
                                    { it.contains_reach = !omit_reach; });
    const auto on_answer = [self = shared_from_this(), replica, request,
                            has_number, omit_reach,
                            done](const connection_result<http_response>& it)
    {
        const auto answer = read_answer(it);
        const bool is_unknown = answer.vote && (*answer.vote)->verdict ==
                                                   claim_verdict::unknown_reach;
        if (is_unknown && omit_reach)
        {
            self->sent_reaches_.forget(replica);
            return self->send(replica, request, done);
        }
        if (answer.vote && has_number)
            self->sent_reaches_.note_delivered(replica,
                                               request->cached_reach_number);
        done(answer);
    };
    client_.send(replica, request_of(claim), timeout_, on_answer);
}

} // namespace lagoonquay
