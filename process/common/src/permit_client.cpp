#include "lagoonquay/process/permit_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/decision_log.hpp"
#include "lagoonquay/version/version_codec.hpp"
#include "permit_rounds.hpp"

#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "permit";

http_request heartbeat(const permit_request& asked)
{
    return {.method = http_method::post,
            .path = "/v1/heartbeat",
            .query = {},
            .body = encode_permit_request(asked),
            .bearer = {}};
}

void log_odd_member(const std::string& reason)
{
    write_log(log_level::warning, part, "Member not followed: " + reason + ".");
}

// A replica that gives no answer is no news: the others of the round do.
std::optional<permit_reply>
reply_of(const connection_result<http_response>& answer)
{
    if (!answer || answer.value().status != http_status::ok)
        return std::nullopt;
    auto reply = decode_permit_reply(answer.value().body, log_odd_member);
    if (reply)
        return std::move(reply).value();
    write_log(log_level::warning, part,
              "Reply not decodable: " + reply.error().detail + ".");
    return std::nullopt;
}

} // namespace

//! Sends heartbeats and queries; lives as long as one is under way.
class permit_client::exchanges
    : public std::enable_shared_from_this<permit_client::exchanges>
{
public:
    exchanges(http_client& client, permit_client_hooks hooks,
              const permit_client_options& options)
        : client_(client), timeout_(options.timeout),
          rounds_(std::move(hooks), options.replicas)
    {
    }

    permit_rounds& rounds() noexcept
    {
        return rounds_;
    }

    void send_round()
    {
        const auto round = rounds_.take_round();
        if (!round)
            return;
        for (const auto& it : rounds_.targets())
        {
            client_.send(it, heartbeat(rounds_.heartbeat(it)), timeout_,
                         [self = shared_from_this(), round,
                          it](const connection_result<http_response>& answer)
                         { self->on_vote(*round, it, answer); });
        }
    }

private:
    void on_vote(heartbeat_round& round, const endpoint& replica,
                 const connection_result<http_response>& answer)
    {
        const auto reply = reply_of(answer);
        if (!reply)
            return;
        rounds_.take(round, replica, *reply);
        send_query();
    }

    // Views are large where there are many queues. They are not in the answers
    // of a round: a process that is behind would get as many copies as there
    // are replicas, twice a second.
    void send_query()
    {
        const auto query = rounds_.take_query();
        if (!query)
            return;
        const auto asked = rounds_.question(query->replica);
        client_.send(query->replica, heartbeat(asked), query->timeout,
                     [self = shared_from_this(), it = *query](
                         const connection_result<http_response>& answer)
                     { self->on_view(it, answer); });
    }

    void on_view(const view_query& query,
                 const connection_result<http_response>& answer)
    {
        const auto reply = reply_of(answer);
        if (reply && rounds_.take_view(*reply))
            return;
        rounds_.query_failed();
        write_event(log_level::warning, part, {}, "view_not_received",
                    {{"replica", to_text(query.replica)},
                     {"limit_ms", milliseconds_of(query.timeout)},
                     {"reason", answer ? "no view that can be used"
                                       : answer.error().detail}});
        send_query();
    }

    http_client& client_;
    const duration timeout_;
    permit_rounds rounds_;
};

permit_client::permit_client(http_client& client,
                             const permit_client_options& options,
                             permit_client_hooks hooks)
    : exchanges_(std::make_shared<exchanges>(client, std::move(hooks), options))
{
}

permit_client::~permit_client() = default;

void permit_client::set_replicas(std::vector<endpoint> replicas)
{
    exchanges_->rounds().set_first(std::move(replicas));
}

void permit_client::tick()
{
    exchanges_->rounds().notice_loss();
    exchanges_->send_round();
}

} // namespace lagoonquay
