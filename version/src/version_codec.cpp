#include "lagoonquay/version/version_codec.hpp"

#include "catalog_json.hpp"
#include "replica_json.hpp"
#include "version_json.hpp"

#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::size_t id_bytes = 128;
constexpr std::uint64_t most_in_force_ms = 60'000;
constexpr std::size_t settings_bytes = 4UL * 1024 * 1024;

template <typename Id>
json::array ids_to_json(const std::set<Id>& ids)
{
    json::array array;
    for (const auto& it : ids)
        array.push_back(json::value(it.text()));
    return array;
}

template <typename Id>
std::set<Id> ids_from_json(json_fields& fields, std::string_view key)
{
    std::set<Id> ids;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return ids;
    for (const auto& it : *source)
    {
        const auto* text = it.if_string();
        if (text == nullptr || text->size() > id_bytes)
        {
            fields.reject(request_errc::malformed,
                          "'" + std::string(key) + "' must hold ids");
            return ids;
        }
        ids.insert(Id(std::string(text->data(), text->size())));
    }
    return ids;
}

version_number get_version(json_fields& fields, std::string_view key)
{
    return version_number(fields.number(key, 0, json_exact_limit));
}

struct change_to_json
{
    json::object operator()(const set_domain& it) const
    {
        return {{"change", "set_domain"},
                {"domain", it.domain.text()},
                {"in_service", it.in_service}};
    }
    json::object operator()(const set_agent_drain& it) const
    {
        return {{"change", "set_agent_drain"},
                {"agent", it.agent.text()},
                {"drained", it.drained}};
    }
    json::object operator()(const set_entry_drain& it) const
    {
        return {{"change", "set_entry_drain"},
                {"entry", it.entry.text()},
                {"drained", it.drained}};
    }
    json::object operator()(const set_settings& it) const
    {
        return {{"change", "set_settings"}, {"settings", it.settings}};
    }
    json::object operator()(const set_catalog& it) const
    {
        return {{"change", "set_catalog"},
                {"catalog", catalog_to_json(it.catalog)}};
    }
    json::object operator()(const read_barrier&) const
    {
        return {{"change", "read_barrier"}};
    }
};

std::string required_id(json_fields& fields, std::string_view key)
{
    auto id = fields.text(key, id_bytes);
    if (id.empty())
        fields.reject(request_errc::out_of_range,
                      "'" + std::string(key) + "' must not be empty");
    return id;
}

change change_from_json(json_fields& fields)
{
    const auto kind = fields.text("change", id_bytes);
    if (kind == "set_domain")
        return set_domain{domain_id(required_id(fields, "domain")),
                          fields.flag_or("in_service", true)};
    if (kind == "set_agent_drain")
        return set_agent_drain{agent_id(required_id(fields, "agent")),
                               fields.flag_or("drained", true)};
    if (kind == "set_entry_drain")
        return set_entry_drain{entry_id(required_id(fields, "entry")),
                               fields.flag_or("drained", true)};
    if (kind == "set_settings")
        return set_settings{fields.text("settings", settings_bytes)};
    if (kind == "read_barrier")
        return read_barrier{};
    const auto* catalog = fields.member("catalog");
    if (kind == "set_catalog" && catalog != nullptr)
        return set_catalog{catalog_from_json(*catalog, fields)};
    fields.reject(request_errc::malformed, "unknown change '" + kind + "'");
    return set_domain{};
}

json::object member_to_json(const member& it)
{
    return {{"role", it->role == member_role::agent ? "agent" : "entry"},
            {"id", it->id},
            {"run", std::to_string(it->run.number())},
            {"domain", it->domain.text()},
            {"address", it->address},
            {"slots", it->slots},
            {"processors_milli", it->capacity.processors_milli},
            {"memory_mb", it->capacity.memory_mb},
            {"accelerators", it->capacity.accelerators},
            {"serving", it->serving}};
}

std::uint32_t small_number(json_fields& fields, std::string_view key)
{
    return static_cast<std::uint32_t>(
        fields.number(key, 0, std::numeric_limits<std::uint32_t>::max()));
}

member member_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "member");
    member_options options;
    const auto role = fields.text("role", id_bytes);
    if (role != "agent" && role != "entry")
        fields.reject(request_errc::malformed, "unknown role '" + role + "'");
    options.role = role == "entry" ? member_role::entry : member_role::agent;
    options.id = required_id(fields, "id");
    options.run = incarnation(fields.wide_number("run"));
    options.domain = domain_id(required_id(fields, "domain"));
    options.address = fields.text("address", id_bytes);
    options.slots = small_number(fields, "slots");
    options.capacity = {small_number(fields, "processors_milli"),
                        small_number(fields, "memory_mb"),
                        small_number(fields, "accelerators")};
    options.serving = fields.flag_or("serving", false);
    parent.absorb(fields);
    return member(std::move(options));
}

json::array fleet_members_to_json(const std::vector<member>& members)
{
    json::array array;
    for (const auto& it : members)
        array.push_back(member_to_json(it));
    return array;
}

// One member that can't be read must not hide the others, nor the vote beside
// them.
std::vector<member> fleet_members_from_json(json_fields& fields,
                                            std::string_view key,
                                            const odd_member_hook& on_odd)
{
    std::vector<member> members;
    if (fields.member(key) == nullptr)
        return members;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return members;
    for (const auto& it : *source)
    {
        json_fields row(it, std::string(key));
        auto found = member_from_json(it, row);
        if (!row.failed())
            members.push_back(std::move(found));
        else if (on_odd)
            on_odd(row.error().detail);
    }
    return members;
}

void vote_to_json(const permit_vote& vote, json::object& out)
{
    out["replica"] = vote.replica.text();
    out["version"] = vote.version.number();
    out["pending_out"] = ids_to_json(vote.pending_out);
    out["pending_drains"] = ids_to_json(vote.pending_drains);
    if (vote.view)
        out["view"] = view_to_json(*vote.view);
}

permit_vote vote_from_json(json_fields& fields)
{
    permit_vote vote;
    vote.replica = replica_id(required_id(fields, "replica"));
    vote.version = get_version(fields, "version");
    if (const auto* view = fields.member("view"))
        vote.view = view_from_json(*view, fields);
    vote.pending_out = ids_from_json<domain_id>(fields, "pending_out");
    vote.pending_drains = ids_from_json<agent_id>(fields, "pending_drains");
    return vote;
}

json::object mark_to_json(const members_mark& mark)
{
    return {{"life", std::to_string(mark.life.number())},
            {"revision", mark.revision}};
}

members_mark mark_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "mark");
    const members_mark mark{incarnation(fields.wide_number("life")),
                            fields.number("revision", 0, json_exact_limit)};
    parent.absorb(fields);
    return mark;
}

json::object changes_to_json(const member_changes& changes)
{
    json::array gone;
    for (const auto& it : changes.gone)
        gone.push_back(json::value(it));
    return {{"mark", mark_to_json(changes.mark)},
            {"whole", changes.whole},
            {"agents", fleet_members_to_json(changes.agents)},
            {"entries", fleet_members_to_json(changes.entries)},
            {"gone", std::move(gone)}};
}

std::vector<std::string> gone_from_json(json_fields& fields)
{
    std::vector<std::string> gone;
    const auto* source = fields.array("gone");
    if (source == nullptr)
        return gone;
    for (const auto& it : *source)
    {
        const auto* text = it.if_string();
        if (text != nullptr && text->size() <= id_bytes)
            gone.emplace_back(text->data(), text->size());
        else
            fields.reject(request_errc::malformed, "'gone' must hold ids");
    }
    return gone;
}

member_changes changes_from_json(const json::value& source, json_fields& parent,
                                 const odd_member_hook& on_odd)
{
    json_fields fields(source, "members");
    member_changes changes;
    if (const auto* mark = fields.member("mark"))
        changes.mark = mark_from_json(*mark, fields);
    changes.whole = fields.flag_or("whole", false);
    changes.agents = fleet_members_from_json(fields, "agents", on_odd);
    changes.entries = fleet_members_from_json(fields, "entries", on_odd);
    changes.gone = gone_from_json(fields);
    parent.absorb(fields);
    return changes;
}

} // namespace

json::object view_to_json(const fleet_view& view)
{
    return {{"version", view->version.number()},
            {"out_domains", ids_to_json(view->out_domains)},
            {"drained_agents", ids_to_json(view->drained_agents)},
            {"drained_entries", ids_to_json(view->drained_entries)},
            {"settings", view->settings},
            {"catalog", catalog_to_json(view->catalog)}};
}

fleet_view view_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "view");
    fleet_view_options options;
    options.version = get_version(fields, "version");
    options.out_domains = ids_from_json<domain_id>(fields, "out_domains");
    options.drained_agents = ids_from_json<agent_id>(fields, "drained_agents");
    options.drained_entries =
        ids_from_json<entry_id>(fields, "drained_entries");
    options.settings = fields.text("settings", settings_bytes);
    if (const auto* catalog = fields.member("catalog"))
        options.catalog = catalog_from_json(*catalog, fields);
    parent.absorb(fields);
    return fleet_view(std::move(options));
}

json::object command_to_json(const command& asked)
{
    auto object = std::visit(change_to_json{}, asked->what);
    object["id"] = asked->id.text();
    object["author"] = asked->author;
    if (asked->expected)
        object["expected"] = asked->expected->number();
    return object;
}

command command_from_json(json_fields& fields)
{
    command_options options;
    options.id = command_id(required_id(fields, "id"));
    options.author = fields.text_or("author", "", id_bytes);
    if (fields.member("expected") != nullptr)
        options.expected = get_version(fields, "expected");
    options.what = change_from_json(fields);
    return command(std::move(options));
}

std::string encode_command(const command& asked)
{
    return json::serialize(command_to_json(asked));
}

version_result<command> decode_command(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    auto asked = command_from_json(fields);
    if (fields.failed())
        return malformed(fields);
    return asked;
}

std::string encode_outcome(const command_outcome& outcome)
{
    const json::object object{{"accepted", outcome.accepted},
                              {"version", outcome.version.number()},
                              {"author", outcome.author}};
    return json::serialize(object);
}

version_result<command_outcome> decode_outcome(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    const command_outcome outcome{fields.flag_or("accepted", false),
                                  get_version(fields, "version"),
                                  fields.text_or("author", "", id_bytes)};
    if (fields.failed())
        return malformed(fields);
    return outcome;
}

std::string encode_command_answer(const command_answer& answer)
{
    const auto in_force =
        std::chrono::ceil<std::chrono::milliseconds>(answer.in_force_after);
    const json::object object{{"accepted", answer.outcome.accepted},
                              {"version", answer.outcome.version.number()},
                              {"author", answer.outcome.author},
                              {"in_force_after_ms", in_force.count()}};
    return json::serialize(object);
}

version_result<command_answer> decode_command_answer(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto outcome, decode_outcome(text));
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    const auto milliseconds = static_cast<std::int64_t>(
        fields.number_or("in_force_after_ms", 0, 0, most_in_force_ms));
    if (fields.failed())
        return malformed(fields);
    return command_answer{outcome, std::chrono::milliseconds(milliseconds)};
}

std::string encode_permit_request(const permit_request& request)
{
    json::object object{{"sender", member_to_json(request.sender)},
                        {"known", request.known.number()},
                        {"known_replicas", request.known_replicas.number()}};
    if (request.known_members != members_mark())
        object["known_members"] = mark_to_json(request.known_members);
    if (request.wants_view)
        object["wants_view"] = true;
    if (request.known_queues != catalog_revision())
        object["known_queues"] = request.known_queues.number();
    return json::serialize(object);
}

version_result<permit_request> decode_permit_request(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    permit_request request;
    request.known = get_version(fields, "known");
    request.known_replicas =
        log_index(fields.number_or("known_replicas", 0, 0, json_exact_limit));
    if (const auto* mark = fields.member("known_members"))
        request.known_members = mark_from_json(*mark, fields);
    request.wants_view = fields.flag_or("wants_view", false);
    request.known_queues = catalog_revision(
        fields.number_or("known_queues", 0, 0, json_exact_limit));
    if (const auto* sender = fields.member("sender"))
        request.sender = member_from_json(*sender, fields);
    else
        fields.reject(request_errc::malformed, "'sender' is missing");
    if (fields.failed())
        return malformed(fields);
    return request;
}

std::string encode_permit_reply(const permit_reply& reply)
{
    json::object object;
    if (reply.members != member_changes())
        object["members"] = changes_to_json(reply.members);
    if (reply.replicas)
        object["replicas"] =
            json::object{{"index", reply.replicas->index.number()},
                         {"members", members_to_json(reply.replicas->all)}};
    if (reply.vote)
        vote_to_json(*reply.vote, object);
    if (reply.queue_changes)
        object["queue_changes"] = catalog_changes_to_json(*reply.queue_changes);
    return json::serialize(object);
}

version_result<permit_reply> decode_permit_reply(std::string_view text,
                                                 const odd_member_hook& on_odd)
{
    BOOST_OUTCOME_TRY(const auto document, parse_document(text));
    json_fields fields(document, "");
    permit_reply reply;
    if (fields.member("replica") != nullptr)
        reply.vote = vote_from_json(fields);
    if (const auto* changes = fields.member("queue_changes"))
        reply.queue_changes = catalog_changes_from_json(*changes, fields);
    if (const auto* replicas = fields.member("replicas"))
    {
        json_fields nested(*replicas, "replicas");
        reply.replicas =
            replica_set{log_index(nested.number("index", 0, json_exact_limit)),
                        members_from_json(nested, "members")};
        fields.absorb(nested);
    }
    if (const auto* members = fields.member("members"))
        reply.members = changes_from_json(*members, fields, on_odd);
    if (fields.failed())
        return malformed(fields);
    return reply;
}

} // namespace lagoonquay
