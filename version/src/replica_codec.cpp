#include "lagoonquay/version/replica_codec.hpp"

#include "replica_json.hpp"

#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

//! Writes the members of one kind of message.
struct body_to_json
{
    json::object& out;

    void operator()(const vote_request& it) const
    {
        out["kind"] = "vote_request";
        out["last"] = it.last.number();
        out["last_term"] = it.last_term.number();
        out["trial"] = it.trial;
        out["hand_over"] = it.hand_over;
    }
    void operator()(const vote_reply& it) const
    {
        out["kind"] = "vote_reply";
        out["trial"] = it.trial;
        out["granted"] = it.granted;
    }
    void operator()(const append_request& it) const
    {
        json::array entries;
        for (const auto& entry : it.entries)
            entries.push_back(entry_to_json(entry));
        out["kind"] = "append_request";
        out["previous"] = it.previous.number();
        out["previous_term"] = it.previous_term.number();
        out["entries"] = std::move(entries);
        out["commit"] = it.commit.number();
        out["ready"] = it.ready;
        if (it.silent.empty())
            return;
        json::array silent;
        for (const auto& member : it.silent)
            silent.push_back(json::object{{"node", member.node.text()},
                                          {"ticks", member.ticks}});
        out["silent"] = std::move(silent);
    }
    void operator()(const append_reply& it) const
    {
        out["kind"] = "append_reply";
        out["accepted"] = it.accepted;
        out["match"] = it.match.number();
        out["previous"] = it.previous.number();
    }
    void operator()(const snapshot_chunk& it) const
    {
        out["kind"] = "snapshot_chunk";
        out["index"] = it.index.number();
        out["index_term"] = it.index_term.number();
        out["members"] = members_to_json(it.members);
        out["offset"] = it.offset;
        out["total"] = it.total;
        out["data"] = it.data;
    }
    void operator()(const snapshot_reply& it) const
    {
        out["kind"] = "snapshot_reply";
        out["index"] = it.index.number();
        out["offset"] = it.offset;
    }
    void operator()(const hand_over_request&) const
    {
        out["kind"] = "hand_over";
    }
};

std::vector<member_silence> silent_from_json(json_fields& fields)
{
    constexpr auto most_ticks = std::numeric_limits<std::uint32_t>::max();
    std::vector<member_silence> found;
    if (fields.member("silent") == nullptr)
        return found;
    const auto* rows = fields.array("silent");
    if (rows == nullptr)
        return found;
    for (const auto& it : *rows)
    {
        json_fields row(it, "silent");
        found.push_back(
            {node_id(row.text("node", replica_id_bytes)),
             static_cast<std::uint32_t>(row.number("ticks", 0, most_ticks))});
        fields.absorb(row);
    }
    return found;
}

append_request append_from_json(json_fields& fields, term_number term)
{
    append_request asked{.term = term,
                         .previous = index_of(fields, "previous"),
                         .previous_term = term_of(fields, "previous_term"),
                         .entries = {},
                         .commit = index_of(fields, "commit"),
                         .ready = fields.flag_or("ready", false),
                         .silent = silent_from_json(fields)};
    const auto* entries = fields.array("entries");
    if (entries == nullptr)
        return asked;
    for (const auto& it : *entries)
        asked.entries.push_back(entry_from_json(it, fields));
    return asked;
}

snapshot_chunk chunk_from_json(json_fields& fields, term_number term)
{
    return {term,
            index_of(fields, "index"),
            term_of(fields, "index_term"),
            members_from_json(fields, "members"),
            fields.number("offset", 0, snapshot_data_bytes),
            fields.number("total", 0, snapshot_data_bytes),
            fields.text("data", snapshot_data_bytes)};
}

replica_message_body body_from_json(json_fields& fields)
{
    const auto kind = fields.text("kind", replica_id_bytes);
    const auto term = term_of(fields, "term");
    if (kind == "append_request")
        return append_from_json(fields, term);
    if (kind == "append_reply")
        return append_reply{term, fields.flag_or("accepted", false),
                            index_of(fields, "match"),
                            index_of(fields, "previous")};
    if (kind == "vote_request")
        return vote_request{
            term, index_of(fields, "last"), term_of(fields, "last_term"),
            fields.flag_or("trial", false), fields.flag_or("hand_over", false)};
    if (kind == "vote_reply")
        return vote_reply{term, fields.flag_or("trial", false),
                          fields.flag_or("granted", false)};
    if (kind == "snapshot_chunk")
        return chunk_from_json(fields, term);
    if (kind == "snapshot_reply")
        return snapshot_reply{term, index_of(fields, "index"),
                              fields.number("offset", 0, snapshot_data_bytes)};
    if (kind == "hand_over")
        return hand_over_request{term};
    fields.reject(request_errc::unknown_message, "unknown kind '" + kind + "'");
    return hand_over_request{};
}

json::object message_to_json(const replica_message& message)
{
    json::object object{{"cluster", wide(message.cluster.number())},
                        {"from", message.from.text()},
                        {"to", message.to.text()},
                        {"term", term_of(message).number()}};
    std::visit(body_to_json{object}, message.body);
    return object;
}

replica_message message_from_json(const json::value& source,
                                  json_fields& parent)
{
    json_fields fields(source, "message");
    replica_message message{cluster_number(fields.wide_number("cluster")),
                            node_id(fields.text("from", replica_id_bytes)),
                            node_id(fields.text("to", replica_id_bytes)),
                            body_from_json(fields)};
    parent.absorb(fields);
    return message;
}

std::vector<std::string> addresses_from_json(json_fields& fields)
{
    std::vector<std::string> addresses;
    const auto* source = fields.array("addresses");
    if (source == nullptr)
        return addresses;
    for (const auto& it : *source)
    {
        const auto* text = it.if_string();
        if (text == nullptr || text->size() > replica_id_bytes)
        {
            fields.reject(request_errc::malformed,
                          "'addresses' must hold addresses");
            return addresses;
        }
        addresses.emplace_back(text->data(), text->size());
    }
    return addresses;
}

} // namespace

std::string encode_batch(const replica_batch& batch)
{
    json::array messages;
    for (const auto& it : batch.messages)
        messages.push_back(message_to_json(it));
    return json::serialize(json::object{{"address", batch.address},
                                        {"messages", std::move(messages)}});
}

version_result<replica_batch> decode_batch(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    replica_batch batch;
    batch.address = fields.text("address", replica_id_bytes);
    if (const auto* messages = fields.array("messages"))
    {
        for (const auto& it : *messages)
            batch.messages.push_back(message_from_json(it, fields));
    }
    if (fields.failed())
        return malformed(fields);
    return batch;
}

std::string encode_greeting(const replica_greeting& greeting)
{
    return json::serialize(
        json::object{{"self", member_to_json(greeting.self)},
                     {"cluster", wide(greeting.cluster.number())},
                     {"members", members_to_json(greeting.members)},
                     {"may_bootstrap", greeting.may_bootstrap},
                     {"addresses", json::value_from(greeting.addresses)}});
}

version_result<replica_greeting> decode_greeting(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    replica_greeting greeting;
    if (const auto* self = fields.member("self"))
        greeting.self = replica_member_from_json(*self, fields);
    greeting.cluster = cluster_number(fields.wide_number("cluster"));
    greeting.members = members_from_json(fields, "members");
    greeting.may_bootstrap = fields.flag_or("may_bootstrap", false);
    if (fields.member("addresses") != nullptr)
        greeting.addresses = addresses_from_json(fields);
    if (fields.failed())
        return malformed(fields);
    return greeting;
}

} // namespace lagoonquay
