#include "lagoonquay/version/queue_catalog.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lagoonquay
{

namespace
{

bool knows(const queue_catalog& it, const service_id& service) noexcept
{
    return std::any_of(it->services.begin(), it->services.end(),
                       [&](const worker_service& each)
                       { return each.id == service; });
}

std::string_view without_port(std::string_view host) noexcept
{
    return host.substr(0, host.find(':'));
}

} // namespace

version_result<void> check_catalog(const queue_catalog& it)
{
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto& queue : it->queues)
    {
        const auto name = "queue '" + queue.id.text() + "'";
        if (!knows(it, queue.service))
            return fail(version_errc::bad_setting,
                        name + " names the unknown service '" +
                            queue.service.text() + "'");
        if (queue.time_limit <= duration::zero())
            return fail(version_errc::bad_setting, name + " has no time limit");
        if (!places.emplace(queue.host, queue.prefix).second)
            return fail(version_errc::bad_setting,
                        name + " shares its host and prefix with another");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

const job_queue* find_queue(const queue_catalog& it, std::string_view host,
                            std::string_view path) noexcept
{
    const auto name = without_port(host);
    const job_queue* found = nullptr;
    for (const auto& queue : it->queues)
    {
        if (queue.host != name || !path.starts_with(queue.prefix))
            continue;
        if (found == nullptr || found->prefix.size() < queue.prefix.size())
            found = &queue;
    }
    return found;
}

} // namespace lagoonquay
