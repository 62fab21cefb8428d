#include "rated_links.hpp"

#include <algorithm>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr std::size_t packet_bytes = 1460;
//! Of a request or a response, beside its body.
constexpr std::size_t header_bytes = 200;

} // namespace

//! Bytes from one node to another.
struct rated_links::transfer
{
    endpoint from;
    endpoint to;
    std::size_t unsent = 0;
    std::size_t under_way = 0;
    std::shared_ptr<bool> given_up;
    std::function<void()> arrived;
};

//! A request and its response.
struct rated_links::exchange
{
    http_callback done;
    bool over = false;

    void end(connection_result<http_response> answer)
    {
        if (!std::exchange(over, true))
            done(std::move(answer));
    }
};

rated_links::rated_links(virtual_time& time, rated_links_options options)
    : time_(time), options_(options)
{
}

void rated_links::serve(const endpoint& node, server answer)
{
    servers_[node] = std::move(answer);
}

http_send_hook rated_links::sender(const endpoint& from)
{
    return [this, from](const endpoint& to, const http_request& request,
                        duration timeout, http_callback done)
    {
        send(from, to, request, timeout, done);
    };
}

std::size_t rated_links::received(const endpoint& node) const
{
    const auto found = received_.find(node);
    return found == received_.end() ? 0 : found->second;
}

void rated_links::send(const endpoint& from, const endpoint& to,
                       const http_request& request, duration timeout,
                       const http_callback& done)
{
    const auto it = std::make_shared<exchange>();
    it->done = done;
    const auto given_up = std::make_shared<bool>(false);
    time_.after(timeout,
                [it, given_up]
                {
                    *given_up = true;
                    it->end(fail(connection_errc::timeout, "no answer"));
                });
    const auto respond = [this, from, to, request, it, given_up]
    {
        const auto found = servers_.find(to);
        if (found == servers_.end())
            return it->end(fail(connection_errc::refused, "nobody listens"));
        const auto answer = found->second(request);
        start(std::make_shared<transfer>(
            transfer{.from = to,
                     .to = from,
                     .unsent = answer.body.size() + header_bytes,
                     .given_up = given_up,
                     .arrived = [it, answer]
                     {
                         it->end(answer);
                     }}));
    };
    start(std::make_shared<transfer>(
        transfer{.from = from,
                 .to = to,
                 .unsent = request.body.size() + header_bytes,
                 .given_up = given_up,
                 .arrived = respond}));
}

void rated_links::start(const std::shared_ptr<transfer>& it)
{
    while (it->unsent > 0 && it->under_way < options_.window_bytes)
        push(it);
}

void rated_links::push(const std::shared_ptr<transfer>& it)
{
    const auto bytes = std::min(it->unsent, packet_bytes);
    it->unsent -= bytes;
    it->under_way += bytes;
    const auto arrived = [this, it, bytes]
    {
        received_[it->to] += bytes;
        it->under_way -= bytes;
        if (it->unsent == 0 && it->under_way == 0)
            return it->arrived();
        if (it->unsent > 0 && !*it->given_up)
            push(it);
    };
    const auto on_its_way = [this, it, bytes, arrived]
    {
        time_.after(options_.latency,
                    [this, it, bytes, arrived] {
                        enqueue(in_[it->to], {bytes, arrived});
                    });
    };
    enqueue(out_[it->from], {bytes, on_its_way});
}

void rated_links::enqueue(link& through, packet it)
{
    through.waiting.push_back(std::move(it));
    if (!through.busy)
        serve_next(through);
}

void rated_links::serve_next(link& through)
{
    through.busy = !through.waiting.empty();
    if (!through.busy)
        return;
    auto it = std::move(through.waiting.front());
    through.waiting.pop_front();
    const duration taken = std::chrono::microseconds(it.bytes * 1'000'000 /
                                                     options_.bytes_per_second);
    time_.after(taken,
                [this, &through, arrived = std::move(it.arrived)]
                {
                    arrived();
                    serve_next(through);
                });
}

} // namespace lagoonquay
