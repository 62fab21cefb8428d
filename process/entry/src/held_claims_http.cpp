#include "lagoonquay/process/held_claims_http.hpp"

#include "lagoonquay/process/held_claims_codec.hpp"
#include "lagoonquay/process/ledger_codec.hpp"

#include <utility>

namespace lagoonquay
{

namespace
{

constexpr duration held_claims_timeout = std::chrono::milliseconds(500);
constexpr std::string_view short_form = "short";

using held_decoder =
    std::function<request_result<held_claims>(std::string_view)>;

void request_from_peer(const http_send_hook& send, const endpoint& peer,
                       const http_request& request, held_decoder decode,
                       const refusal_proof_hook& refusal_proves_end,
                       const held_claims_hook& done)
{
    send(peer, request, held_claims_timeout,
         [decode = std::move(decode), refusal_proves_end,
          done](const connection_result<http_response>& answer)
         {
             if (!answer && answer.error().code == connection_errc::refused &&
                 refusal_proves_end())
                 return done(held_claims{.gone = true});
             if (!answer || answer.value().status != http_status::ok)
                 return done(std::nullopt);
             auto claims = decode(answer.value().body);
             if (!claims)
                 return done(std::nullopt);
             done(std::move(claims).value());
         });
}

} // namespace

// An earlier version asks without the query, and knows the long form only.
http_response held_claims_response(const http_request& request,
                                   const held_claims& held)
{
    if (query_value(request.query, "form") != short_form)
        return {.body = encode_held_claims(held)};
    const auto known = parse_reach_digests(query_value(request.query, "known"));
    if (!known)
        return error_response(http_status::bad_request, "malformed",
                              "no digests of reaches");
    return {.body = encode_short_held_claims(held, *known)};
}

void request_held_claims(const http_send_hook& send, const endpoint& peer,
                         known_reaches& known,
                         const refusal_proof_hook& refusal_proves_end,
                         const held_claims_hook& done)
{
    auto reaches = known.current();
    http_request request;
    request.path = "/v1/ledger/held";
    request.query = "form=" + std::string(short_form) +
                    "&known=" + to_text(digests_of(reaches));
    const auto decode =
        [&known, reaches = std::move(reaches)](
            std::string_view text) -> request_result<held_claims>
    {
        BOOST_OUTCOME_TRY(auto told, decode_short_held_claims(text, reaches));
        known.add(told.reaches);
        return std::move(told.held);
    };
    request_from_peer(send, peer, request, decode, refusal_proves_end, done);
}

void request_established(http_client& client, const endpoint& peer,
                         const refusal_proof_hook& refusal_proves_end,
                         const held_claims_hook& done)
{
    http_request request;
    request.path = "/v1/ledger/established";
    request_from_peer(client.send_hook(), peer, request, decode_held_claims,
                      refusal_proves_end, done);
}

} // namespace lagoonquay
