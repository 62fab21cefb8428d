//! JSON encoding of what replicas send each other and keep on disk.
#pragma once

#include "lagoonquay/version/error.hpp"
#include "lagoonquay/version/replica_message.hpp"

#include <string_view>

namespace lagoonquay
{

//! Messages that travel together, with the sender's address for answers.
struct replica_batch
{
    std::string address;
    std::vector<replica_message> messages;

    friend bool operator==(const replica_batch&,
                           const replica_batch&) = default;
};

//! What a replica tells one that knows of no cluster yet.
struct replica_greeting
{
    replica_member self;
    cluster_number cluster; //!< zero if it knows of none either
    membership members;
    bool may_bootstrap = false; //!< its settings say so
    //! Where the members that it knows of listen for replicas.
    std::vector<std::string> addresses = {};

    friend bool operator==(const replica_greeting&,
                           const replica_greeting&) = default;
};

//! The first record of a log file.
struct log_header
{
    node_id node;
    log_index base; //!< of the snapshot that the log follows; zero for none

    friend bool operator==(const log_header&, const log_header&) = default;
};

using log_record = std::variant<log_header, hard_state, log_entry>;

//! Each decoder returns malformed if the text does not fit.
std::string encode_batch(const replica_batch& batch);
version_result<replica_batch> decode_batch(std::string_view text);

std::string encode_greeting(const replica_greeting& greeting);
version_result<replica_greeting> decode_greeting(std::string_view text);

std::string encode_record(const log_record& record);
version_result<log_record> decode_record(std::string_view text);

std::string encode_snapshot(const log_snapshot& snapshot);
version_result<log_snapshot> decode_snapshot(std::string_view text);

std::string encode_fleet(const fleet_snapshot& fleet);
version_result<fleet_snapshot> decode_fleet(std::string_view text);

} // namespace lagoonquay
