#include "replica_json.hpp"

namespace json = boost::json;

namespace lagoonquay
{

version_result<json::value> parse_document(std::string_view text)
{
    auto parsed = parse_json(text);
    if (!parsed)
        return fail(version_errc::malformed, parsed.error().detail);
    return std::move(parsed).value();
}

json::object member_to_json(const replica_member& it)
{
    return {{"node", it.node.text()},
            {"name", it.name.text()},
            {"address", it.address},
            {"voter", it.voter}};
}

replica_member replica_member_from_json(const json::value& source,
                                        json_fields& parent)
{
    json_fields fields(source, "replica");
    replica_member it{node_id(fields.text("node", replica_id_bytes)),
                      replica_id(fields.text("name", replica_id_bytes)),
                      fields.text("address", replica_id_bytes),
                      fields.flag_or("voter", false)};
    parent.absorb(fields);
    return it;
}

json::array members_to_json(const membership& all)
{
    json::array array;
    for (const auto& it : all->members)
        array.push_back(member_to_json(it));
    return array;
}

membership members_from_json(json_fields& fields, std::string_view key)
{
    membership_options options;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return membership();
    for (const auto& it : *source)
        options.members.push_back(replica_member_from_json(it, fields));
    return membership(std::move(options));
}

json::object entry_to_json(const log_entry& entry)
{
    json::object object{{"index", entry.index.number()},
                        {"term", entry.term.number()}};
    if (const auto* asked = std::get_if<command>(&entry.content))
        object["command"] = command_to_json(*asked);
    if (const auto* members = std::get_if<membership>(&entry.content))
        object["members"] = members_to_json(*members);
    return object;
}

log_entry entry_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "entry");
    log_entry entry{index_of(fields, "index"), term_of(fields, "term"),
                    no_operation{}};
    if (const auto* asked = fields.member("command"))
    {
        json_fields nested(*asked, "command");
        entry.content = command_from_json(nested);
        fields.absorb(nested);
    }
    if (fields.member("members") != nullptr)
        entry.content = members_from_json(fields, "members");
    parent.absorb(fields);
    return entry;
}

log_index index_of(json_fields& fields, std::string_view key)
{
    return log_index(fields.number(key, 0, json_exact_limit));
}

term_number term_of(json_fields& fields, std::string_view key)
{
    return term_number(fields.number(key, 0, json_exact_limit));
}

std::string wide(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace lagoonquay
