#include "lagoonquay/process/ledger_client.hpp"

#include "claim_exchange.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

namespace lagoonquay
{

claim_hook claim_over_http(http_client& client, ledger_replica& local,
                           ledger_client_options options, clock_hook now)
{
    const claim_exchange_options shared{
        .sender = std::make_shared<claim_sender>(client, options.timeout),
        .order = std::make_shared<replica_order>(),
        .now = std::move(now)};
    return [shared, &local, it = std::move(options)](const claim_request& asked,
                                                     claim_callback done)
    {
        const auto named = shared.sender->name(asked);
        const auto exchange = std::make_shared<claim_exchange>(
            shared, named, it.peers(), std::move(done));
        exchange->start(local.claim(named));
        if (it.after)
            it.after(it.patience, [exchange] { exchange->pass_over_silent(); });
    };
}

} // namespace lagoonquay
