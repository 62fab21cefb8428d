//! Links between nodes of a fake network.
#pragma once

#include "fake_network.hpp"
#include "lagoonquay/connection/message_link.hpp"

#include <memory>
#include <string>

namespace lagoonquay
{

//! One end of a link. Messages pass through the real codec.
class fake_link : public message_link,
                  public std::enable_shared_from_this<fake_link>
{
public:
    fake_link(fake_network& network, std::string own, std::string peer);

    //! Joins two ends.
    static void join(const std::shared_ptr<fake_link>& left,
                     const std::shared_ptr<fake_link>& right);

    void start(link_hooks hooks) override;
    void send(link_message message) override;
    void close() override;
    link_counts counts() const noexcept override;

    bool open() const noexcept;
    const std::string& own() const noexcept;
    const std::string& peer() const noexcept;

private:
    void receive(const std::string& frame);

    fake_network& network_;
    std::string own_;
    std::string peer_;
    std::weak_ptr<fake_link> other_;
    link_hooks hooks_;
    bool open_ = true;
    link_counts counts_;
};

} // namespace lagoonquay
