//! A TCP connection that sends any bytes, for tests of listeners.
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace lagoonquay
{

//! Blocking client side of a connection to 127.0.0.1.
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        open_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&target),
                          sizeof target) == 0;
    }
    ~raw_connection()
    {
        ::close(socket_);
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    bool open() const noexcept
    {
        return open_;
    }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            const auto n =
                ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    //! Sends nothing more; the peer sees the end of the stream.
    void finish_sending() const
    {
        ::shutdown(socket_, SHUT_WR);
    }

    //! @return everything until the peer closes.
    std::string read_to_end() const
    {
        std::string all;
        while (read_some(all))
        {
        }
        return all;
    }

    //! @return what came up to `mark`, or all until the peer closes.
    std::string read_until(std::string_view mark) const
    {
        std::string all;
        while (all.find(mark) == std::string::npos && read_some(all))
        {
        }
        return all;
    }

private:
    bool read_some(std::string& all) const
    {
        char buf[4096];
        const auto n = ::recv(socket_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        all.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    int socket_;
    bool open_ = false;
};

} // namespace lagoonquay
