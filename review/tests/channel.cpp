#include "channel.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lagoonquay::review
{

namespace
{

constexpr int poll_ms = 20;

} // namespace

channel::channel(const endpoint& target, const std::string& request)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(socket_, generic, sizeof(address)) != 0 ||
        ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(request.size()))
        throw std::runtime_error("cannot reach " + to_text(target));
    reader_ = std::thread([this] { read(); });
}

channel::~channel()
{
    ending_ = true;
    if (reader_.joinable())
        reader_.join();
    if (socket_ >= 0)
        ::close(socket_);
}

void channel::reset()
{
    ending_ = true;
    reader_.join();
    const linger at_once{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::close(socket_);
    socket_ = -1;
}

std::string channel::received()
{
    const std::lock_guard lock(mutex_);
    return received_;
}

void channel::read()
{
    std::array<char, 4096> buffer{};
    while (!ending_)
    {
        pollfd waiting{socket_, POLLIN, 0};
        if (::poll(&waiting, 1, poll_ms) <= 0)
            continue;
        const auto n = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (n <= 0)
            return;
        const std::lock_guard lock(mutex_);
        received_.append(buffer.data(), static_cast<std::size_t>(n));
    }
}

} // namespace lagoonquay::review
