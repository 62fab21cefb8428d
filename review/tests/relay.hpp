//! A proxy between two machines that can cut them off from each other.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonquay::review
{

//! Texts that the proxy replaces in what the target answers, by texts of the
//! same length: the addresses of machines by those of the proxies before them.
using replacements = std::map<std::string, std::string>;

//! Passes connections on to a target. Thread-safe.
class relay
{
public:
    relay(boost::asio::io_context& io, const endpoint& listen,
          const endpoint& target, replacements answers);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    //! Resets open connections and refuses new ones.
    void cut();
    //! Holds all bytes back, as a cut that tells neither end.
    void silence();
    void heal();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace lagoonquay::review
