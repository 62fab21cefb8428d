#include "lagoonquay/process/ledger_client.hpp"

#include "claim_exchange.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

std::optional<claim_vote> local_vote(ledger_replica& local,
                                     const claim_request& request,
                                     const std::vector<replica_group>& groups)
{
    const bool asks_local =
        std::any_of(groups.begin(), groups.end(),
                    [](const replica_group& it) { return it.local; });
    if (!asks_local)
        return std::nullopt;
    return local.claim(request);
}

} // namespace

claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now)
{
    const claim_exchange_options shared{
        .sender = std::make_shared<claim_sender>(client, options.timeout,
                                                 options.refusal_proves_end),
        .unresponsive = std::make_shared<unresponsive_replicas>(),
        .ended = std::make_shared<ended_replicas>(),
        .response_times = std::make_shared<latency_estimator>(options.patience),
        .told_groups = options.told_groups,
        .now = std::move(now)};
    return [shared, &local, settings = std::move(options)](
               const claim_request& request, claim_callback done)
    {
        const auto numbered = shared.sender->assign_reach_number(
            settings.tell_entries ? settings.tell_entries(request) : request);
        auto groups = settings.groups(numbered->submission);
        const auto vote = local_vote(local, numbered, groups);
        for (auto& group : groups)
            group.others = shared.unresponsive->order_unresponsive_last(
                std::move(group.others), shared.now());
        const auto exchange = std::make_shared<claim_exchange>(
            shared, numbered, std::move(groups), std::move(done));
        exchange->start(vote);
        if (settings.after)
            settings.after(shared.response_times->patience(),
                           [exchange] { exchange->hedge_pending(); });
    };
}

} // namespace lagoonquay
