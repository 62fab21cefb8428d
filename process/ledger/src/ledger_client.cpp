#include "lagoonquay/process/ledger_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_replica.hpp"
#include "lagoonquay/process/told_reaches.hpp"

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

//! What all claims of an entry share.
struct claim_sender
{
    http_client& client;
    const duration timeout;
    told_reaches reaches;

    //! Sends a claim with a numbered reach. The agents are left out where they
    //! were told before; a replica that knows them not is told them.
    static void send(const std::shared_ptr<claim_sender>& self,
                     const endpoint& peer, const claim_request& named,
                     const http_callback& done);
};

http_request request_of(const claim_request& asked)
{
    return {.method = http_method::post,
            .path = "/v1/ledger/claim",
            .query = {},
            .body = encode_claim_request(asked),
            .bearer = {}};
}

bool lacks_reach(const connection_result<http_response>& answer)
{
    const auto vote = read_vote(answer);
    return vote && (*vote)->verdict == claim_verdict::unknown_reach;
}

void claim_sender::send(const std::shared_ptr<claim_sender>& self,
                        const endpoint& peer, const claim_request& named,
                        const http_callback& done)
{
    const auto number = named->named_reach;
    const bool short_form =
        number != reach_number() && self->reaches.told(peer, number);
    const auto asked = named.with([&](claim_request_options& it)
                                  { it.tells_reach = !short_form; });
    const auto on_answer = [self, peer, named, short_form, number,
                            done](connection_result<http_response> answer)
    {
        if (short_form && lacks_reach(answer))
        {
            self->reaches.forget(peer);
            return send(self, peer, named, done);
        }
        if (answer && number != reach_number())
            self->reaches.note_told(peer, number);
        done(std::move(answer));
    };
    self->client.send(peer, request_of(asked), self->timeout, on_answer);
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
    const auto sender = std::shared_ptr<claim_sender>(
        new claim_sender{client, options.timeout, {}});
    return [sender, &local, it = std::move(options), clock = std::move(now)](
               const claim_request& asked, claim_callback done)
    {
        const auto peers = it.peers();
        const claim_tally tally(peers.size() + 1, asked->lease, clock());
        const auto exchange =
            std::make_shared<claim_exchange>(tally, std::move(done));
        const auto named = sender->reaches.name(asked);
        for (const auto& peer : peers)
        {
            claim_sender::send(
                sender, peer, named,
                [exchange](connection_result<http_response> answer)
                { exchange->add(std::move(answer)); });
        }
        exchange->add(local.claim(named));
    };
}

} // namespace lagoonquay
