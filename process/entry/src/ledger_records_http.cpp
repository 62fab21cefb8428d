#include "lagoonquay/process/ledger_records_http.hpp"

#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/log.hpp"

#include <charconv>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "ledger";
constexpr std::string_view short_form = "form=short";
constexpr duration page_timeout = std::chrono::milliseconds(500);

//! A question for one page.
struct page_question
{
    endpoint peer;
    std::uint64_t first_shard = 0;
    instant asked_at{};
    reaches_by_digest known;
};

void log_taken(const page_question& it, const ledger_record_page& page,
               std::size_t bytes)
{
    write_event(log_level::info, part, {}, "records_taken",
                {{"peer", to_text(it.peer)},
                 {"shard", static_cast<std::int64_t>(it.first_shard)},
                 {"records", static_cast<std::int64_t>(page.records.size())},
                 {"bytes", static_cast<std::int64_t>(bytes)},
                 {"after_ms", milliseconds_of(steady_now() - it.asked_at)}});
}

std::optional<peer_records> without(const page_question& it,
                                    std::string_view reason)
{
    write_event(log_level::info, part, {}, "records_not_taken",
                {{"peer", to_text(it.peer)},
                 {"shard", static_cast<std::int64_t>(it.first_shard)},
                 {"reason", reason},
                 {"after_ms", milliseconds_of(steady_now() - it.asked_at)}});
    return std::nullopt;
}

std::optional<peer_records>
to_page(const page_question& it, const connection_result<http_response>& answer,
        known_reaches& known, const refusal_proof_hook& refusal_proves_end)
{
    if (!answer && answer.error().code == connection_errc::refused &&
        refusal_proves_end())
        return peer_records{.gone = true};
    if (!answer)
        return without(it, "not answered");
    // An older version doesn't know the path.
    if (answer.value().status == http_status::not_found)
        return peer_records();
    if (answer.value().status != http_status::ok)
        return without(it, "refused");
    auto told = decode_record_page(answer.value().body, it.known);
    if (!told)
        return without(it, "malformed");
    known.add(told.value().reaches);
    auto& page = told.value().page;
    log_taken(it, page, answer.value().body.size());
    return peer_records{.records = std::move(page.records), .next = page.next};
}

} // namespace

// An earlier version asks without the query, and knows the long form only.
http_response ledger_records_response(ledger_replica& ledger,
                                      const http_request& request,
                                      std::string_view first_shard,
                                      std::size_t max_records)
{
    std::uint64_t first = 0;
    const auto* const end = first_shard.data() + first_shard.size();
    const auto [rest, ec] = std::from_chars(first_shard.data(), end, first);
    if (ec != std::errc() || rest != end)
        return error_response(http_status::bad_request, "malformed",
                              "no number of a shard");
    if (request.query != short_form)
        return {.body = encode_ledger_records(
                    ledger.recent_records(first, max_records))};
    const auto asked = decode_record_question(request.body);
    if (!asked)
        return error_response(http_status::bad_request, "malformed",
                              asked.error().detail);
    const auto& [scope, known] = asked.value();
    return {.body = encode_record_page(
                ledger.recent_records(first, max_records, scope), known)};
}

void request_ledger_records(const http_send_hook& send, const endpoint& peer,
                            const record_scope& scope,
                            std::uint64_t first_shard, known_reaches& known,
                            const refusal_proof_hook& refusal_proves_end,
                            const peer_records_hook& done)
{
    const page_question asked{peer, first_shard, steady_now(), known.current()};
    http_request request;
    request.path = "/v1/ledger/records/" + std::to_string(first_shard);
    request.query = short_form;
    request.body = encode_record_question({scope, digests_of(asked.known)});
    send(peer, request, page_timeout,
         [asked, &known, refusal_proves_end,
          done](const connection_result<http_response>& answer)
         { done(to_page(asked, answer, known, refusal_proves_end)); });
}

} // namespace lagoonquay
