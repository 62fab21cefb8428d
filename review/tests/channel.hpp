//! A client's own channel, which can be reset in the midst of a request.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace lagoonquay::review
{

//! Sends one request and reads what comes until the channel ends.
class channel
{
public:
    channel(const endpoint& target, const std::string& request);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    //! Ends the channel with a reset, as a network fault does.
    void reset();

    //! @return what was received by now.
    std::string received();

private:
    void read();

    int socket_ = -1;
    std::atomic<bool> ending_{false};
    std::mutex mutex_;
    std::string received_;
    std::thread reader_;
};

} // namespace lagoonquay::review
