#include "lagoonquay/process/replica_transport.hpp"

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/process/sharded_map.hpp"
#include "lagoonquay/version/replica_codec.hpp"
#include "lagoonquay/version/version_codec.hpp"

namespace lagoonquay
{

namespace
{

constexpr duration batch_timeout = std::chrono::seconds(1);
constexpr duration command_timeout = std::chrono::seconds(6);
constexpr std::size_t most_waiting = 256; // messages for one address
constexpr std::size_t most_in_batch = 64;
constexpr std::size_t most_batch_bytes = 1024UL * 1024; // unless one has more

// @return how many of the messages go together, one at least.
std::size_t batch_size(const std::vector<replica_message>& waiting)
{
    std::size_t bytes = 0;
    std::size_t n = 0;
    for (const auto& it : waiting)
    {
        bytes += approximate_bytes(it);
        if (n == most_in_batch || (n > 0 && bytes > most_batch_bytes))
            break;
        ++n;
    }
    return n;
}

http_request post(const std::string& path, std::string body)
{
    return {.method = http_method::post,
            .path = path,
            .query = {},
            .body = std::move(body),
            .bearer = {}};
}

// Where no answer came, the leader may still commit the command.
version_result<command_answer>
answer_from(const connection_result<http_response>& answer)
{
    if (!answer)
        return fail(version_errc::not_leader, answer.error().detail);
    const auto status = answer.value().status;
    if (status != http_status::ok && status != http_status::conflict)
        return fail(version_errc::not_leader,
                    "the leader answered " +
                        std::to_string(static_cast<unsigned>(status)));
    return decode_command_answer(answer.value().body);
}

} // namespace

struct replica_transport::shared
    : public std::enable_shared_from_this<replica_transport::shared>
{
    struct outbox
    {
        std::vector<replica_message> waiting;
        bool sending = false;
    };

    shared(http_client& to, std::string own_address, std::string own_token)
        : client(to), address(std::move(own_address)),
          token(std::move(own_token))
    {
    }

    //! @return what to send next; empty if a batch is on its way or none is
    //! needed.
    std::vector<replica_message> next_batch(const std::string& to)
    {
        return outboxes.with_shard(
            to,
            [&](auto& values)
            {
                auto& box = values[to];
                std::vector<replica_message> batch;
                if (box.sending || box.waiting.empty())
                    return batch;
                const auto end =
                    box.waiting.begin() +
                    static_cast<std::ptrdiff_t>(batch_size(box.waiting));
                batch.assign(std::make_move_iterator(box.waiting.begin()),
                             std::make_move_iterator(end));
                box.waiting.erase(box.waiting.begin(), end);
                box.sending = true;
                return batch;
            });
    }

    void flush(const std::string& to)
    {
        const replica_batch batch{address, next_batch(to)};
        const auto target = parse_endpoint(to);
        if (batch.messages.empty() || !target)
            return;
        client.send(
            target.value(), post("/v1/replica/messages", encode_batch(batch)),
            batch_timeout,
            [self = shared_from_this(),
             to](const connection_result<http_response>&)
            {
                self->outboxes.with_shard(to, [&](auto& values)
                                          { values[to].sending = false; });
                self->flush(to);
            });
    }

    http_client& client;
    const std::string address;
    const std::string token;
    sharded_map<std::string, outbox> outboxes;
};

replica_transport::replica_transport(http_client& client, std::string address,
                                     std::string token)
    : shared_(std::make_shared<shared>(client, std::move(address),
                                       std::move(token)))
{
}

replica_transport::~replica_transport() = default;

// The newest messages matter most, so the oldest are lost first.
void replica_transport::send(const std::string& address,
                             const replica_message& message)
{
    shared_->outboxes.with_shard(address,
                                 [&](auto& values)
                                 {
                                     auto& waiting = values[address].waiting;
                                     if (waiting.size() >= most_waiting)
                                         waiting.erase(waiting.begin());
                                     waiting.push_back(message);
                                 });
    shared_->flush(address);
}

void replica_transport::greet(const std::string& address,
                              const replica_greeting& greeting,
                              const greeting_hook& answered)
{
    const auto target = parse_endpoint(address);
    if (!target)
        return;
    shared_->client.send(
        target.value(), post("/v1/replica/greeting", encode_greeting(greeting)),
        batch_timeout,
        [answered](const connection_result<http_response>& answer)
        {
            if (!answer || answer.value().status != http_status::ok)
                return;
            const auto other = decode_greeting(answer.value().body);
            if (other)
                answered(other.value());
        });
}

void replica_transport::forward(const std::string& address,
                                const command& asked, const answer_hook& done)
{
    const auto target = parse_endpoint(address);
    if (!target)
        return done(fail(version_errc::not_leader, target.error().detail));
    auto request = post("/v1/replica/commands", encode_command(asked));
    request.bearer = shared_->token;
    shared_->client.send(target.value(), request, command_timeout,
                         [done](const connection_result<http_response>& answer)
                         { done(answer_from(answer)); });
}

} // namespace lagoonquay
