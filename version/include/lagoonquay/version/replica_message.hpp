//! Messages between control replicas.
#pragma once

#include "lagoonquay/version/log_entry.hpp"

namespace lagoonquay
{

//! Asks for a vote in `term`.
struct vote_request
{
    term_number term;
    log_index last;
    term_number last_term;
    bool trial = false;     //!< pre-vote: binds nobody
    bool hand_over = false; //!< the leader asked for this election

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_reply
{
    term_number term;
    bool trial = false;
    bool granted = false;

    friend bool operator==(const vote_reply&, const vote_reply&) = default;
};

//! A member from which the leader hears nothing.
struct member_silence
{
    node_id node;
    std::uint32_t ticks = 0; //!< since it was last heard

    friend bool operator==(const member_silence&,
                           const member_silence&) = default;
};

//! Entries after `previous`; without entries, a heartbeat.
struct append_request
{
    term_number term;
    log_index previous;
    term_number previous_term;
    std::vector<log_entry> entries;
    log_index commit;
    bool ready = false; //!< the leader has committed in its own term
    //! For the next leader, which would else count each silence anew.
    std::vector<member_silence> silent = {};

    friend bool operator==(const append_request&,
                           const append_request&) = default;
};

struct append_reply
{
    term_number term;
    bool accepted = false;
    log_index match;    //!< stored up to here; when refused, a hint
    log_index previous; //!< of the request

    friend bool operator==(const append_reply&, const append_reply&) = default;
};

//! A piece of a snapshot.
struct snapshot_chunk
{
    term_number term;
    log_index index;
    term_number index_term;
    membership members;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; //!< bytes of the whole
    std::string data;

    friend bool operator==(const snapshot_chunk&,
                           const snapshot_chunk&) = default;
};

//! Asks for the piece at `offset`.
struct snapshot_reply
{
    term_number term;
    log_index index;
    std::uint64_t offset = 0;

    friend bool operator==(const snapshot_reply&,
                           const snapshot_reply&) = default;
};

//! Tells a voter to start an election at once.
struct hand_over_request
{
    term_number term;

    friend bool operator==(const hand_over_request&,
                           const hand_over_request&) = default;
};

using replica_message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, hand_over_request>;

struct replica_message
{
    cluster_number cluster;
    node_id from;
    node_id to;
    replica_message_body body;

    friend bool operator==(const replica_message&,
                           const replica_message&) = default;
};

//! @return about how many bytes the message takes.
std::size_t approximate_bytes(const replica_message& message) noexcept;

//! @return the term that the message was sent in.
term_number term_of(const replica_message& message) noexcept;

} // namespace lagoonquay
