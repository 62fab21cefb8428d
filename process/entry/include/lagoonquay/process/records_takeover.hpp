//! Takes over the records of other entries' ledger replicas, page by page, so
//! that it leaves room on the links for claims.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/ledger_record_page.hpp"
#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonquay
{

//! Receives a page of a peer's records, or nothing if it did not answer. Called
//! once.
using peer_records_hook =
    std::function<void(const std::optional<peer_records>&)>;

struct records_takeover_options
{
    //! Of all peers together: what is in flight keeps claims waiting.
    std::size_t max_pages_in_flight = 2;
    //! After a page that did not come; doubles up to the longest with each.
    duration first_retry_delay = std::chrono::milliseconds(100);
    duration max_retry_delay = std::chrono::seconds(1);

    friend bool operator==(const records_takeover_options&,
                           const records_takeover_options&) = default;
};

struct records_takeover_hooks
{
    clock_hook now;
    std::function<void(duration, std::function<void()>)> after;
    //! Asks a peer for the page that begins with a shard.
    std::function<void(const endpoint&, std::uint64_t first_shard,
                       peer_records_hook)>
        ask_for_page;
    std::function<void(const ledger_record&)> restore;
};

//! Asks a few peers at a time. What came of a peer is kept: after a page that
//! did not come its transfer goes on with that page. Thread-safe; must outlive
//! its calls of `after` and `ask_for_page`.
class records_takeover
{
public:
    records_takeover(records_takeover_options options,
                     records_takeover_hooks hooks);

    //! Begins with those peers that are new.
    void take_from(const std::vector<endpoint>& peers);

    //! A peer whose process has ended has no records.
    void skip(const endpoint& peer);

    //! Begins anew with all peers that were not skipped.
    void restart();

    //! Asks for no more pages.
    void end();

    //! @return whether all records of the peer are taken over.
    bool has_all(const endpoint& peer) const;

private:
    struct transfer
    {
        std::uint64_t next_shard = 0;
        instant due{}; //!< when the next page may be asked for
        duration retry_delay{};
        bool in_flight = false;
        bool whole = false;
        bool skipped = false;
    };
    struct question
    {
        endpoint peer;
        std::uint64_t first_shard = 0;
        std::uint64_t round = 0;
        instant asked_at{};
    };

    void ask_next();
    std::optional<question> take_due(instant now);
    void ask(const question& it);
    void on_page(const question& it, const std::optional<peer_records>& page);
    void advance(transfer& of, const question& it,
                 const std::optional<peer_records>& page, instant now) const;

    const records_takeover_options options_;
    const records_takeover_hooks hooks_;

    mutable std::mutex mutex_;
    std::map<endpoint, transfer> transfers_;
    std::size_t in_flight_ = 0;
    std::uint64_t round_ = 0; //!< rises with each restart
    bool ended_ = false;
};

} // namespace lagoonquay
