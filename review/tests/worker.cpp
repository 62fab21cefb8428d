#include "worker.hpp"

#include "messages.hpp"

#include <algorithm>
#include <stdexcept>

namespace json = boost::json;

namespace lagoonquay::review
{

namespace
{

constexpr duration report_period = std::chrono::milliseconds(1500);
constexpr duration step = std::chrono::milliseconds(5);
constexpr std::int64_t longest_lease_ms = 1000;
constexpr std::int64_t stop_ms = 20; // of the 50 ms that the pages allow
constexpr unsigned misdirected = 421;

std::uint64_t number(const json::object& order, const std::string& key)
{
    const auto* it = order.if_contains(key);
    return it == nullptr ? 0 : it->to_number<std::uint64_t>();
}

std::string text(const json::object& order, const char* key)
{
    const auto& it = order.at(key).as_string();
    return {it.data(), it.size()};
}

} // namespace

sound_worker::sound_worker(io_threads& io, http_client& client, record& log,
                           worker_options options)
    : io_(io), client_(client), log_(log), options_(std::move(options)),
      work_(options_.work),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
{
    http_server_options listener;
    listener.listen = options_.own;
    listener.kept_headers = {word("life_header")};
    auto listening = http_server::listen(
        io_.context(), listener,
        [this](const http_request& request, const http_responder& respond)
        { serve(request, respond); });
    if (!listening)
        throw std::runtime_error("worker " + options_.id +
                                 " can't listen: " + listening.error().detail);
    server_.emplace(std::move(listening).value());
    io_.every(report_period, [this] { send_report(); });
    io_.every(step,
              [this]
              {
                  const std::lock_guard lock(mutex_);
                  advance();
              });
}

std::vector<started_task> sound_worker::starts()
{
    const std::lock_guard lock(mutex_);
    return starts_;
}

void sound_worker::set_work(std::chrono::milliseconds work)
{
    const std::lock_guard lock(mutex_);
    work_ = work;
}

std::vector<std::string> sound_worker::running()
{
    const std::lock_guard lock(mutex_);
    advance();
    std::vector<std::string> found;
    for (const auto& [task, it] : runs_)
        found.push_back(task);
    return found;
}

std::int64_t sound_worker::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - began_)
        .count();
}

void sound_worker::serve(const http_request& request,
                         const http_responder& respond)
{
    const auto named = header_value(request, word("life_header"));
    if (!named.empty() && named != options_.id)
        return respond(reply(misdirected));
    json::error_code ec;
    const auto parsed = json::parse(request.body, ec);
    if (ec || !parsed.is_object())
        return respond(reply(400));
    const auto& order = parsed.get_object();
    if (request.path == word("hold"))
        return hold(order, respond);
    const std::lock_guard lock(mutex_);
    advance();
    if (request.path == word("start"))
        return respond(start(order));
    if (request.path == word("stop"))
        return respond(stop(order));
    respond(reply(404));
}

// The caller holds the lock.
http_response sound_worker::start(const json::object& order)
{
    if (fenced(order))
        return reply(409, "fence");
    const auto task = text(order, "task");
    const auto asked = number(order, "run");
    const auto until = static_cast<std::int64_t>(number(order, word("until")));
    if (until <= clock())
        return reply(409, "late");
    extend(order);
    const auto there = runs_.find(task);
    if (there != runs_.end() && there->second.number == asked)
        return reply(200);
    const auto last = over_.find(task);
    if (there != runs_.end() || (last != over_.end() && asked <= last->second))
        return reply(409, "old");
    runs_[task] = {asked, clock(), work_.count(), std::nullopt};
    starts_.push_back({log_.now(), 0, task, options_.service});
    log_.write("worker " + options_.id + " of service " + options_.service +
               " starts " + task + " run " + std::to_string(asked));
    return reply(200);
}

// The caller holds the lock.
http_response sound_worker::stop(const json::object& order)
{
    if (fenced(order))
        return reply(409, "fence");
    const auto task = text(order, "task");
    const auto asked = number(order, "run");
    const auto there = runs_.find(task);
    if (there != runs_.end() && there->second.number <= asked)
    {
        if (!there->second.stops_at)
            there->second.stops_at = clock() + stop_ms;
        return reply(200);
    }
    over_[task] = std::max(over_[task], asked);
    return reply(200);
}

void sound_worker::hold(const json::object& order,
                        const http_responder& respond)
{
    std::int64_t until = 0;
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (fenced(order))
            return respond(reply(409, "fence"));
        if (!runs_.empty())
            extend(order);
        const auto seen = number(order, word("seen"));
        std::erase_if(ended_,
                      [&](const ended_run& it) { return it.number <= seen; });
        until =
            clock() + static_cast<std::int64_t>(number(order, word("wait")));
    }
    answer_hold(until, respond);
}

void sound_worker::answer_hold(std::int64_t until,
                               const http_responder& respond)
{
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (!ended_.empty() || clock() >= until)
            return respond(lists());
    }
    io_.after(step, [this, until, respond] { answer_hold(until, respond); });
}

// A missing token counts as 0.
bool sound_worker::fenced(const json::object& order)
{
    const auto token = number(order, word("token"));
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void sound_worker::extend(const json::object& order)
{
    const auto until = static_cast<std::int64_t>(number(order, word("until")));
    lease_ = std::max(lease_, std::min(until, clock() + longest_lease_ms));
}

// Ends what is over by now. The caller holds the lock.
void sound_worker::advance()
{
    const auto now = clock();
    const auto runs = runs_;
    for (const auto& [task, it] : runs)
    {
        if (it.stops_at && now >= *it.stops_at)
            end(task, it.number, "stopped");
        else if (!it.stops_at && now - it.began >= it.work)
            end(task, it.number, "done");
        else if (now > lease_)
            end(task, it.number, "lapsed");
    }
}

void sound_worker::end(const std::string& task, std::uint64_t which,
                       const std::string& how)
{
    runs_.erase(task);
    for (auto& it : starts_)
    {
        if (it.task == task && it.ended == 0)
            it.ended = log_.now();
    }
    over_[task] = std::max(over_[task], which);
    ended_.push_back({++ends_, task, which, how});
    log_.write("worker " + options_.id + " ends " + task + " run " +
               std::to_string(which) + " " + how);
}

http_response sound_worker::reply(unsigned status, const std::string& reason)
{
    json::object body{{word("clock"), clock()}, {"born", born_}};
    if (!reason.empty())
        body["reason"] = reason;
    return {.status = static_cast<http_status>(status),
            .body = json::serialize(body)};
}

// A run that is being stopped is in neither list.
http_response sound_worker::lists()
{
    json::array running;
    for (const auto& [task, it] : runs_)
    {
        if (it.stops_at)
            continue;
        const auto percent =
            std::min<std::int64_t>(99, (clock() - it.began) * 100 / it.work);
        running.push_back(json::array{task, it.number, "", percent, 1000});
    }
    json::array ended;
    for (const auto& it : ended_)
        ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
    return {.body =
                json::serialize(json::object{{word("clock"), clock()},
                                             {"born", born_},
                                             {"running", std::move(running)},
                                             {"ended", std::move(ended)}})};
}

void sound_worker::send_report()
{
    http_request request;
    request.method = http_method::put;
    request.path = word("beat") + options_.id;
    {
        const std::lock_guard lock(mutex_);
        request.body =
            message("report", {{"service", options_.service},
                               {"address", to_text(options_.own)},
                               {"zone", options_.zone},
                               {"state", "ready"},
                               {"clock", std::to_string(clock())},
                               {"sequence", std::to_string(++sequence_)},
                               {"born", std::to_string(born_)}});
    }
    client_.send(options_.agent, request, std::chrono::seconds(1),
                 [](const connection_result<http_response>&) {});
}

} // namespace lagoonquay::review
