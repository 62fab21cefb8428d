#include "lagoonquay/process/operator_client.hpp"

#include "lagoonquay/version/version_codec.hpp"

#include <algorithm>
#include <map>

namespace lagoonquay
{

namespace
{

constexpr std::string_view commands_path = "/v1/commands";
constexpr std::string_view view_path = "/v1/view";
constexpr std::string_view state_path = "/v1/state";

auto bad_answer(const endpoint& target, const std::string& detail)
{
    return fail(operator_errc::bad_answer, to_text(target) + ": " + detail);
}

//! An answer that ends the tries; nothing means: ask another replica.
std::optional<operator_result<command_reply>>
final_answer(const endpoint& target, const http_response& response)
{
    switch (response.status)
    {
    case http_status::ok:
    case http_status::conflict:
    {
        auto reply = decode_command_reply(response.body);
        if (!reply)
            return bad_answer(target, reply.error().detail);
        return std::move(reply).value();
    }
    case http_status::unauthorized:
        return fail(operator_errc::unauthorized,
                    to_text(target) + ": " +
                        decode_error_detail(response.body));
    case http_status::bad_request:
    case http_status::not_found:
    case http_status::payload_too_large:
    case http_status::unprocessable:
        return fail(operator_errc::rejected,
                    to_text(target) + ": " +
                        decode_error_detail(response.body));
    default:
        return std::nullopt;
    }
}

//! @return whether a member stands for the target of a change. A change that
//! puts something back into service is always in place.
struct target_finder
{
    const std::vector<member_status>& members;

    bool operator()(const set_domain& it) const
    {
        return it.in_service ||
               std::any_of(members.begin(), members.end(),
                           [&](const auto& known)
                           { return known.domain == it.domain.text(); });
    }
    bool operator()(const set_agent_drain& it) const
    {
        return !it.drained || has("agent", it.agent.text());
    }
    bool operator()(const set_entry_drain& it) const
    {
        return !it.drained || has("entry", it.entry.text());
    }
    bool operator()(const set_settings&) const
    {
        return true;
    }
    bool operator()(const set_catalog&) const
    {
        return true;
    }
    bool operator()(const read_barrier&) const
    {
        return true;
    }

private:
    bool has(std::string_view role, const std::string& id) const
    {
        return std::any_of(members.begin(), members.end(),
                           [&](const auto& known)
                           { return known.role == role && known.id == id; });
    }
};

} // namespace

std::optional<std::string> unknown_target(const fleet_status& status,
                                          const change& what)
{
    const auto members = status.members();
    if (std::visit(target_finder{members}, what))
        return std::nullopt;
    return "no replica has heard of such a failure domain, agent or entry";
}

fleet_view fleet_status::view() const
{
    fleet_view newest;
    for (const auto& it : answered)
    {
        if (it.view->version >= newest->version)
            newest = it.view;
    }
    return newest;
}

std::vector<member_status> fleet_status::members() const
{
    std::map<std::string, member_status> found;
    for (const auto& replica : answered)
    {
        for (const auto& it : replica.members)
            found.emplace(it.id, it);
    }
    std::vector<member_status> all;
    all.reserve(found.size());
    for (auto& [id, it] : found)
        all.push_back(std::move(it));
    return all;
}

bool fleet_status::has_quorum() const noexcept
{
    return answered.size() > replicas / 2;
}

operator_client::operator_client(operator_client_options options,
                                 operator_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

operator_result<command_reply> operator_client::run(const command& asked)
{
    const http_request request{.method = http_method::post,
                               .path = std::string(commands_path),
                               .query = {},
                               .body = encode_command(asked),
                               .bearer = options_.bearer};
    std::string last = "no control replica is named";
    for (std::size_t n = 0; n < options_.rounds; ++n)
    {
        if (n > 0)
            hooks_.pause(options_.round_pause);
        for (const auto& target : next_round())
        {
            const auto response = hooks_.send(target, request);
            if (!response)
            {
                last = response.error().detail;
                continue;
            }
            if (auto answer = final_answer(target, response.value()))
                return std::move(*answer);
            last = to_text(target) + ": " +
                   decode_error_detail(response.value().body);
            leader_ = decode_leader_hint(response.value().body);
            if (leader_ && *leader_ != target)
                break;
        }
    }
    return fail(operator_errc::unreachable, last);
}

operator_result<fleet_status> operator_client::status()
{
    fleet_status status;
    status.replicas = options_.replicas.size();
    std::string last = "no control replica is named";
    for (const auto& target : options_.replicas)
    {
        const auto view = get(target, std::string(view_path));
        const auto dump = get(target, std::string(state_path));
        if (!view || !dump)
        {
            const auto& error = !view ? view.error() : dump.error();
            if (error.code == operator_errc::unauthorized)
                return fail(error.code, error.detail);
            last = error.detail;
            continue;
        }
        auto decoded = decode_replica_status(view.value(), dump.value());
        if (!decoded)
            return bad_answer(target, decoded.error().detail);
        decoded.value().address = target;
        status.answered.push_back(std::move(decoded).value());
    }
    if (status.answered.empty())
        return fail(operator_errc::unreachable, last);
    return status;
}

operator_result<std::string> operator_client::dump(const endpoint& target)
{
    return get(target, std::string(state_path));
}

// The replica that a refusal named goes first.
std::vector<endpoint> operator_client::next_round()
{
    auto order = options_.replicas;
    if (!leader_)
        return order;
    std::erase(order, *leader_);
    order.insert(order.begin(), *leader_);
    return order;
}

operator_result<std::string> operator_client::get(const endpoint& target,
                                                  const std::string& path)
{
    const http_request request{.method = http_method::get,
                               .path = path,
                               .query = {},
                               .body = {},
                               .bearer = options_.bearer};
    auto response = hooks_.send(target, request);
    if (!response)
        return fail(operator_errc::unreachable, response.error().detail);
    if (response.value().status == http_status::unauthorized)
        return fail(operator_errc::unauthorized,
                    to_text(target) + ": " +
                        decode_error_detail(response.value().body));
    if (response.value().status != http_status::ok)
        return fail(operator_errc::rejected,
                    to_text(target) + ": " +
                        decode_error_detail(response.value().body));
    return std::move(response).value().body;
}

} // namespace lagoonquay
