// Encoding of what a replica keeps on disk.
#include "lagoonquay/version/replica_codec.hpp"

#include "replica_json.hpp"

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

struct record_to_json
{
    json::object operator()(const log_header& it) const
    {
        return {{"record", "header"},
                {"node", it.node.text()},
                {"base", it.base.number()}};
    }
    json::object operator()(const hard_state& it) const
    {
        json::object object{{"record", "state"},
                            {"cluster", wide(it.cluster.number())},
                            {"term", it.term.number()}};
        if (it.vote)
            object["vote"] = it.vote->text();
        return object;
    }
    json::object operator()(const log_entry& it) const
    {
        auto object = entry_to_json(it);
        object["record"] = "entry";
        return object;
    }
};

hard_state state_from_json(json_fields& fields)
{
    hard_state state;
    state.cluster = cluster_number(fields.wide_number("cluster"));
    state.term = term_of(fields, "term");
    if (fields.member("vote") != nullptr)
        state.vote = node_id(fields.text("vote", replica_id_bytes));
    return state;
}

log_record record_from_json(const json::value& document, json_fields& fields)
{
    const auto kind = fields.text("record", replica_id_bytes);
    if (kind == "entry")
        return entry_from_json(document, fields);
    if (kind == "state")
        return state_from_json(fields);
    if (kind == "header")
        return log_header{node_id(fields.text("node", replica_id_bytes)),
                          index_of(fields, "base")};
    fields.reject(request_errc::malformed, "unknown record '" + kind + "'");
    return log_header{};
}

remembered_outcome outcome_from_json(const json::value& source,
                                     json_fields& parent)
{
    json_fields fields(source, "outcome");
    remembered_outcome it;
    it.id = command_id(fields.text("id", replica_id_bytes));
    it.outcome.accepted = fields.flag_or("accepted", false);
    it.outcome.version =
        version_number(fields.number("version", 0, json_exact_limit));
    it.outcome.author = fields.text("author", replica_id_bytes);
    parent.absorb(fields);
    return it;
}

} // namespace

std::string encode_record(const log_record& record)
{
    return json::serialize(std::visit(record_to_json{}, record));
}

version_result<log_record> decode_record(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    auto record = record_from_json(document, fields);
    if (fields.failed())
        return malformed(fields);
    return record;
}

std::string encode_snapshot(const log_snapshot& snapshot)
{
    return json::serialize(
        json::object{{"index", snapshot.index.number()},
                     {"term", snapshot.term.number()},
                     {"members", members_to_json(snapshot.members)},
                     {"data", snapshot.data}});
}

version_result<log_snapshot> decode_snapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    log_snapshot snapshot{index_of(fields, "index"), term_of(fields, "term"),
                          members_from_json(fields, "members"),
                          fields.text("data", snapshot_data_bytes)};
    if (fields.failed())
        return malformed(fields);
    return snapshot;
}

std::string encode_fleet(const fleet_snapshot& fleet)
{
    json::array outcomes;
    for (const auto& it : fleet.outcomes)
        outcomes.push_back(
            json::object{{"id", it.id.text()},
                         {"accepted", it.outcome.accepted},
                         {"version", it.outcome.version.number()},
                         {"author", it.outcome.author}});
    return json::serialize(json::object{{"view", view_to_json(fleet.view)},
                                        {"author", fleet.author},
                                        {"outcomes", std::move(outcomes)}});
}

version_result<fleet_snapshot> decode_fleet(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    fleet_snapshot fleet;
    if (const auto* view = fields.member("view"))
        fleet.view = view_from_json(*view, fields);
    else
        fields.reject(request_errc::malformed, "'view' is missing");
    fleet.author = fields.text("author", replica_id_bytes);
    if (const auto* outcomes = fields.array("outcomes"))
    {
        for (const auto& it : *outcomes)
            fleet.outcomes.push_back(outcome_from_json(it, fields));
    }
    if (fields.failed())
        return malformed(fields);
    return fleet;
}

} // namespace lagoonquay
