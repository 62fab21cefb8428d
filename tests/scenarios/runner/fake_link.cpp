#include "fake_link.hpp"

#include "lagoonquay/request/dispatch_codec.hpp"

#include <stdexcept>

namespace lagoonquay
{

fake_link::fake_link(fake_network& network, std::string own, std::string peer)
    : network_(network), own_(std::move(own)), peer_(std::move(peer))
{
}

void fake_link::join(const std::shared_ptr<fake_link>& left,
                     const std::shared_ptr<fake_link>& right)
{
    left->other_ = right;
    right->other_ = left;
}

void fake_link::start(link_hooks hooks)
{
    hooks_ = std::move(hooks);
}

void fake_link::send(link_message message)
{
    if (!open_)
        return;
    ++counts_.frames_sent;
    ++counts_.messages_sent;
    const auto frame = encode_frame({std::move(message)});
    network_.send(own_, peer_,
                  [other = other_, frame]
                  {
                      if (const auto it = other.lock())
                          it->receive(frame);
                  });
}

void fake_link::close()
{
    if (!open_)
        return;
    open_ = false;
    const auto hooks = hooks_;
    network_.at_node(own_, duration(0),
                     [hooks]
                     {
                         if (hooks.on_close)
                             hooks.on_close();
                     });
}

link_counts fake_link::counts() const noexcept
{
    return counts_;
}

bool fake_link::open() const noexcept
{
    return open_;
}

const std::string& fake_link::own() const noexcept
{
    return own_;
}

const std::string& fake_link::peer() const noexcept
{
    return peer_;
}

void fake_link::receive(const std::string& frame)
{
    if (!open_)
        return;
    const auto messages = decode_frame(frame);
    if (!messages)
        throw std::runtime_error("frame not decodable: " +
                                 messages.error().detail);
    counts_.messages_received += messages.value().size();
    if (hooks_.on_messages)
        hooks_.on_messages(messages.value());
}

} // namespace lagoonquay
