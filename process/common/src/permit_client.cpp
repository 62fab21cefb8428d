#include "lagoonquay/process/permit_client.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <mutex>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "permit";

//! One round of heartbeats; holds the permit as soon as a majority answers,
//! and again with each further vote.
class heartbeat_round
{
public:
    heartbeat_round(std::shared_ptr<const permit_client_hooks> hooks,
                    std::size_t replicas, instant sent)
        : hooks_(std::move(hooks)), replicas_(replicas), sent_(sent)
    {
    }

    void add(const permit_reply& reply)
    {
        if (hooks_->learn && !reply.agents.empty())
            hooks_->learn(reply.agents);
        const std::lock_guard lock(mutex_);
        votes_.push_back(reply.vote);
        const auto merged =
            merge_votes(votes_, replicas_, hooks_->known(), sent_);
        if (merged)
            hooks_->hold(*merged);
    }

private:
    std::shared_ptr<const permit_client_hooks> hooks_;
    std::size_t replicas_;
    instant sent_;
    std::mutex mutex_;
    std::vector<permit_vote> votes_;
};

void on_answer(heartbeat_round& round, connection_result<http_response> answer)
{
    if (!answer || answer.value().status != http_status::ok)
        return;
    const auto reply = decode_permit_reply(answer.value().body);
    if (!reply)
        return write_log(log_level::warning, part,
                         "Reply not decodable: " + reply.error().detail + ".");
    round.add(reply.value());
}

} // namespace

permit_client::permit_client(http_client& client, permit_client_options options,
                             permit_client_hooks hooks)
    : client_(client), options_(std::move(options)),
      hooks_(std::make_shared<const permit_client_hooks>(std::move(hooks)))
{
}

permit_client::~permit_client() = default;

void permit_client::tick()
{
    const permit_request asked{hooks_->self(), hooks_->known()->version};
    const http_request request{.method = http_method::post,
                               .path = "/v1/heartbeat",
                               .query = {},
                               .body = encode_permit_request(asked),
                               .bearer = {}};
    const auto round = std::make_shared<heartbeat_round>(
        hooks_, options_.replicas.size(), hooks_->now());
    for (const auto& it : options_.replicas)
    {
        client_.send(it, request, options_.timeout,
                     [round](connection_result<http_response> answer)
                     { on_answer(*round, std::move(answer)); });
    }
}

} // namespace lagoonquay
