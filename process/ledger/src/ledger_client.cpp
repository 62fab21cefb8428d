#include "lagoonquay/process/ledger_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <memory>
#include <mutex>

namespace lagoonquay
{

namespace
{

std::optional<claim_vote> read_vote(connection_result<http_response> answer)
{
    if (!answer || answer.value().status != http_status::ok)
        return std::nullopt;
    auto vote = decode_claim_vote(answer.value().body);
    if (!vote)
        return std::nullopt;
    return std::move(vote).value();
}

//! One claim on its way; shared by the callbacks of its replicas.
class claim_exchange
{
public:
    claim_exchange(claim_tally tally, claim_callback done)
        : tally_(std::move(tally)), done_(std::move(done))
    {
    }

    void add(const std::optional<claim_vote>& vote)
    {
        finish([&] { return tally_.add(vote); });
    }

    // A port where nothing listens proves that the process has ended.
    void add(connection_result<http_response> answer)
    {
        if (!answer && answer.error().code == connection_errc::refused)
            return finish([this] { return tally_.add_gone(); });
        add(read_vote(std::move(answer)));
    }

private:
    template <typename Count>
    void finish(Count count)
    {
        std::optional<claim_outcome> outcome;
        {
            const std::lock_guard lock(mutex_);
            outcome = count();
        }
        if (outcome)
            done_(*outcome);
    }

    std::mutex mutex_;
    claim_tally tally_;
    claim_callback done_;
};

} // namespace

claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now)
{
    return [&client, &local, it = std::move(options), clock = std::move(now)](
               const claim_request& asked, claim_callback done)
    {
        const auto peers = it.peers();
        const claim_tally tally(peers.size() + 1, asked->lease, clock());
        const auto exchange =
            std::make_shared<claim_exchange>(tally, std::move(done));
        const http_request request{.method = http_method::post,
                                   .path = "/v1/ledger/claim",
                                   .query = {},
                                   .body = encode_claim_request(asked),
                                   .bearer = {}};
        for (const auto& peer : peers)
        {
            client.send(peer, request, it.timeout,
                        [exchange](connection_result<http_response> answer)
                        { exchange->add(std::move(answer)); });
        }
        exchange->add(local.claim(asked));
    };
}

} // namespace lagoonquay
