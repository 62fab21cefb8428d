#include "relay.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <optional>

namespace net = boost::asio;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;

namespace lagoonquay::review
{

namespace
{

tcp::endpoint place(const endpoint& it)
{
    return {net::ip::make_address(it.address), it.port};
}

void end_with_reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(net::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

//! Replaces texts in a stream that comes in pieces.
class replacer
{
public:
    explicit replacer(const replacements& known) : known_(known)
    {
    }

    std::string pass(std::string_view piece)
    {
        held_.append(piece);
        for (const auto& [from, to] : known_)
        {
            for (auto at = held_.find(from); at != std::string::npos;
                 at = held_.find(from, at + to.size()))
                held_.replace(at, from.size(), to);
        }
        const auto kept = begun();
        std::string out = held_.substr(0, held_.size() - kept);
        held_.erase(0, held_.size() - kept);
        return out;
    }

private:
    //! @return the length of a text that has begun at the end.
    std::size_t begun() const
    {
        std::size_t longest = 0;
        for (const auto& [from, to] : known_)
        {
            for (auto n = std::min(from.size() - 1, held_.size()); n > longest;
                 --n)
            {
                if (held_.ends_with(std::string_view(from).substr(0, n)))
                    longest = n;
            }
        }
        return longest;
    }

    const replacements& known_;
    std::string held_;
};

//! One connection and the one to the target.
class passage : public std::enable_shared_from_this<passage>
{
public:
    passage(tcp::socket client, const replacements& answers,
            std::shared_ptr<const bool> silent)
        : client_(std::move(client)), target_(client_.get_executor()),
          silent_(std::move(silent)), answers_(answers), replacer_(answers_)
    {
    }

    void start(const tcp::endpoint& target)
    {
        if (*silent_)
            return later([self = shared_from_this(), target]
                         { self->start(target); });
        target_.async_connect(target,
                              [self = shared_from_this()](error_code ec)
                              {
                                  if (ec)
                                      return self->close();
                                  error_code ignored;
                                  const tcp::no_delay at_once(true);
                                  self->client_.set_option(at_once, ignored);
                                  self->target_.set_option(at_once, ignored);
                                  self->pass_question();
                                  self->pass_answer();
                              });
    }

    //! Ends both connections; during a silent cut, once it is over.
    void close()
    {
        if (*silent_)
            return later([self = shared_from_this()] { self->close(); });
        end();
    }

    // All runs on one thread.
    void end()
    {
        end_with_reset(client_);
        end_with_reset(target_);
    }

private:
    template <typename Then>
    void later(Then then)
    {
        const auto waiting = std::make_shared<net::steady_timer>(
            client_.get_executor(), std::chrono::milliseconds(20));
        waiting->async_wait([waiting, then](error_code) { then(); });
    }

    void pass_question()
    {
        client_.async_read_some(
            net::buffer(question_),
            [self = shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->close();
                self->send_question(n);
            });
    }

    void send_question(std::size_t size)
    {
        if (*silent_)
            return later([self = shared_from_this(), size]
                         { self->send_question(size); });
        net::async_write(
            target_, net::buffer(question_, size),
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                if (failed)
                    return self->close();
                self->pass_question();
            });
    }

    void pass_answer()
    {
        target_.async_read_some(
            net::buffer(answer_),
            [self = shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->close();
                self->out_ = self->replacer_.pass({self->answer_.data(), n});
                self->send_answer();
            });
    }

    void send_answer()
    {
        if (*silent_)
            return later([self = shared_from_this()] { self->send_answer(); });
        net::async_write(
            client_, net::buffer(out_),
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                if (failed)
                    return self->close();
                self->pass_answer();
            });
    }

    tcp::socket client_;
    tcp::socket target_;
    const std::shared_ptr<const bool> silent_;
    const replacements answers_;
    replacer replacer_;
    std::array<char, 65536> question_{};
    std::array<char, 65536> answer_{};
    std::string out_;
};

} // namespace

//! Used on the thread of the I/O context only.
struct relay::state : std::enable_shared_from_this<relay::state>
{
    state(net::io_context& io, const endpoint& from, const endpoint& to,
          replacements texts)
        : acceptor(io), listen(place(from)), target(place(to)),
          answers(std::move(texts))
    {
    }

    void open()
    {
        acceptor.open(listen.protocol());
        // The programs are started later and must not keep the port open.
        ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(listen);
        acceptor.listen();
        accept();
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](error_code ec, tcp::socket client)
            {
                if (ec)
                    return;
                const auto fresh = std::make_shared<passage>(
                    std::move(client), self->answers, self->silent);
                self->passages.push_back(fresh);
                fresh->start(self->target);
                self->accept();
            });
    }

    void close()
    {
        error_code ignored;
        acceptor.close(ignored);
        for (const auto& it : passages)
        {
            if (const auto open_one = it.lock())
                open_one->end();
        }
        passages.clear();
    }

    tcp::acceptor acceptor;
    const tcp::endpoint listen;
    const tcp::endpoint target;
    const replacements answers;
    const std::shared_ptr<bool> silent = std::make_shared<bool>(false);
    std::vector<std::weak_ptr<passage>> passages;
};

relay::relay(net::io_context& io, const endpoint& listen,
             const endpoint& target, replacements answers)
    : state_(std::make_shared<state>(io, listen, target, std::move(answers)))
{
    state_->open();
}

relay::~relay()
{
    net::post(state_->acceptor.get_executor(), [it = state_] { it->close(); });
}

void relay::cut()
{
    net::post(state_->acceptor.get_executor(), [it = state_] { it->close(); });
}

void relay::silence()
{
    net::post(state_->acceptor.get_executor(),
              [it = state_] { *it->silent = true; });
}

void relay::heal()
{
    net::post(state_->acceptor.get_executor(),
              [it = state_]
              {
                  *it->silent = false;
                  if (!it->acceptor.is_open())
                      it->open();
              });
}

} // namespace lagoonquay::review
