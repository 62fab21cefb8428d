//! A listener on loopback with its I/O thread, and requests to it.
#pragma once

#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/upstream.hpp"
#include "raw_connection.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <future>
#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace lagoonquay
{

//! Runs an I/O context on one thread, and counts what handlers throw.
class io_thread
{
public:
    io_thread() : guard_(io_.get_executor()), thread_([this] { run(); })
    {
    }
    ~io_thread()
    {
        io_.stop();
        thread_.join();
    }
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;

    boost::asio::io_context& io()
    {
        return io_;
    }

    std::atomic<int> thrown{0};

private:
    void run()
    {
        while (!io_.stopped())
        {
            try
            {
                io_.run();
            }
            catch (const std::exception&)
            {
                ++thrown;
            }
        }
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    std::thread thread_;
};

//! Echoes the body of POST /echo.
inline http_handler echo_routes()
{
    const auto echo = [](const http_request& request, std::string_view rest,
                         const http_responder& respond)
    {
        respond({.body = request.body + std::string(rest)});
    };
    return route_requests({{http_method::post, "/echo", echo},
                           {http_method::get, "/echo/", echo}});
}

//! @return options that `set` has changed.
template <typename Set>
http_server_options limited(Set set)
{
    http_server_options options;
    set(options);
    return options;
}

class http_server_test : public testing::Test
{
protected:
    http_server start(http_server_options options, http_handler handler)
    {
        options.listen = {"127.0.0.1", 0};
        auto server = http_server::listen(thread_.io(), std::move(options),
                                          std::move(handler));
        EXPECT_TRUE(server);
        return std::move(server).value();
    }

    http_server start(http_server_options options)
    {
        return start(std::move(options), echo_routes());
    }

    //! @return all that the server answers to these bytes.
    static std::string answer(const http_server& server,
                              const std::string& bytes)
    {
        const raw_connection peer(server.port());
        peer.send(bytes);
        peer.finish_sending();
        return peer.read_to_end();
    }

    //! @return the result of a task whose upstream sends these bytes.
    task_result call_upstream(const std::string& body)
    {
        const auto server =
            start({}, [&](const http_request&, const http_responder& respond)
                  { respond({.body = body}); });
        return call({"127.0.0.1", server.port()});
    }

    task_result call(const endpoint& target)
    {
        constexpr std::size_t limit = 1000;
        http_client client(thread_.io(), {.response_bytes = limit});
        std::promise<task_result> done;
        upstream_call asked;
        asked.address = target;
        asked.submission = submission_id("s");
        asked.run_limit = std::chrono::minutes(1);
        call_over_http(client)(asked, [&](const task_result& it)
                               { done.set_value(it); });
        return done.get_future().get();
    }

    io_thread thread_;
};

inline const std::string post = "POST /echo HTTP/1.1\r\nHost: h\r\n";
inline const std::string post_hello = post + "Content-Length: 5\r\n\r\nhello";

inline bool has_status(const std::string& answer, const std::string& code)
{
    return answer.starts_with("HTTP/1.1 " + code);
}

} // namespace lagoonquay
