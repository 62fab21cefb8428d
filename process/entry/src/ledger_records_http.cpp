#include "lagoonquay/process/ledger_records_http.hpp"

#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/log.hpp"

#include <charconv>
#include <iterator>
#include <memory>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "ledger";
constexpr duration page_timeout = std::chrono::milliseconds(500);

//! One takeover. Owned by its request in flight.
class records_request : public std::enable_shared_from_this<records_request>
{
public:
    records_request(http_send_hook send, endpoint peer,
                    refusal_proof_hook refusal_proves_end,
                    peer_records_hook done)
        : send_(std::move(send)), peer_(std::move(peer)),
          refusal_proves_end_(std::move(refusal_proves_end)),
          done_(std::move(done))
    {
    }

    void ask(std::uint64_t first_shard)
    {
        http_request request;
        request.path = "/v1/ledger/records/" + std::to_string(first_shard);
        send_(peer_, request, page_timeout,
              [self = shared_from_this(),
               first_shard](const connection_result<http_response>& answer)
              { self->on_answer(first_shard, answer); });
    }

private:
    void on_answer(std::uint64_t first_shard,
                   const connection_result<http_response>& answer)
    {
        if (!answer && answer.error().code == connection_errc::refused &&
            refusal_proves_end_())
            return done_(peer_records{.gone = true});
        if (!answer)
            return fail(first_shard, "not answered");
        // An older version doesn't know the path.
        if (answer.value().status == http_status::not_found)
            return done_(peer_records());
        if (answer.value().status != http_status::ok)
            return fail(first_shard, "refused");
        ++pages_;
        bytes_ += answer.value().body.size();
        auto page = decode_ledger_records(answer.value().body);
        if (!page)
            return fail(first_shard, "malformed");
        take(first_shard, std::move(page).value());
    }

    // Pages that don't advance would never end.
    void take(std::uint64_t first_shard, ledger_record_page page)
    {
        told_.records.insert(told_.records.end(),
                             std::make_move_iterator(page.records.begin()),
                             std::make_move_iterator(page.records.end()));
        if (!page.next || *page.next <= first_shard)
        {
            log_taken();
            return done_(told_);
        }
        ask(*page.next);
    }

    void fail(std::uint64_t shard, std::string_view reason)
    {
        write_event(log_level::info, part, {}, "records_not_taken",
                    {{"peer", to_text(peer_)},
                     {"shard", static_cast<std::int64_t>(shard)},
                     {"reason", reason},
                     {"after_ms", milliseconds_of(steady_now() - began_)}});
        done_(std::nullopt);
    }

    void log_taken() const
    {
        write_event(
            log_level::info, part, {}, "records_taken",
            {{"peer", to_text(peer_)},
             {"records", static_cast<std::int64_t>(told_.records.size())},
             {"pages", pages_},
             {"bytes", static_cast<std::int64_t>(bytes_)},
             {"after_ms", milliseconds_of(steady_now() - began_)}});
    }

    const http_send_hook send_;
    const endpoint peer_;
    const refusal_proof_hook refusal_proves_end_;
    const peer_records_hook done_;
    const instant began_ = steady_now();
    std::int64_t pages_ = 0;
    std::size_t bytes_ = 0; //!< of the pages' bodies
    peer_records told_;
};

} // namespace

http_response ledger_records_response(ledger_replica& ledger,
                                      std::string_view first_shard,
                                      std::size_t max_records)
{
    std::uint64_t first = 0;
    const auto* const end = first_shard.data() + first_shard.size();
    const auto [rest, ec] = std::from_chars(first_shard.data(), end, first);
    if (ec != std::errc() || rest != end)
        return error_response(http_status::bad_request, "malformed",
                              "no number of a shard");
    return {.body = encode_ledger_records(
                ledger.recent_records(first, max_records))};
}

void request_ledger_records(const http_send_hook& send, const endpoint& peer,
                            const refusal_proof_hook& refusal_proves_end,
                            const peer_records_hook& done)
{
    std::make_shared<records_request>(send, peer, refusal_proves_end, done)
        ->ask(0);
}

} // namespace lagoonquay
