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

} // namespace

claim_sender::claim_sender(http_client& client, duration timeout,
                           refusal_proof_hook refusal_proves_end) noexcept
    : client_(client), timeout_(timeout),
      refusal_proves_end_(std::move(refusal_proves_end))
{
}

// Where a refused connection means that no process listens on the port any
// more, the replica has lost its records. In a cut it may go on and grant the
// claim to others, so it then counts like one that doesn't answer.
claim_answer
claim_sender::read_answer(const connection_result<http_response>& it) const
{
    if (!it)
        return {.vote = {},
                .gone = it.error().code == connection_errc::refused &&
                        (!refusal_proves_end_ || refusal_proves_end_())};
    if (it.value().status != http_status::ok)
        return {};
    auto vote = decode_claim_vote(it.value().body);
    if (vote)
        return {.vote = std::move(vote).value()};
    write_log(log_level::warning, part,
              "Cannot decode the vote of a ledger replica: " +
                  vote.error().detail + ".");
    return {};
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
        const auto answer = self->read_answer(it);
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
