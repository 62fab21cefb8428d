//! Records that a replica tells a younger one, in parts.
#pragma once

#include "lagoonquay/process/ledger_shard.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! Records of some consecutive shards.
struct ledger_record_page
{
    std::vector<ledger_record> records;
    //! First shard of the next page; nothing after the last one.
    std::optional<std::uint64_t> next;

    friend bool operator==(const ledger_record_page&,
                           const ledger_record_page&) = default;
};

//! A page of a peer's records, as a younger replica receives it.
struct peer_records
{
    //! The peer's process has ended, and its records with it.
    bool gone = false;
    std::vector<ledger_record> records;
    //! First shard of the next page; nothing after the last one.
    std::optional<std::uint64_t> next = std::nullopt;

    friend bool operator==(const peer_records&, const peer_records&) = default;
};

} // namespace lagoonquay
