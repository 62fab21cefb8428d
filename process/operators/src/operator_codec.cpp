#include "lagoonquay/process/operator_codec.hpp"

#include "lagoonquay/request/json_fields.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::size_t text_bytes = 256;
constexpr std::size_t detail_bytes = 4096;
constexpr std::size_t settings_bytes = 4UL * 1024 * 1024;
constexpr std::uint64_t longest_wait_ms = 600000;
constexpr std::uint64_t slot_limit = 1ULL << 31U;

template <typename Id>
json::array to_array(const std::set<Id>& ids)
{
    json::array array;
    for (const auto& it : ids)
        array.push_back(json::value(it.text()));
    return array;
}

template <typename Id>
std::set<Id> to_set(json_fields& fields, std::string_view key)
{
    std::set<Id> ids;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return ids;
    for (const auto& it : *source)
    {
        if (const auto* text = it.if_string())
            ids.insert(Id(std::string(text->data(), text->size())));
        else
            fields.reject(request_errc::malformed,
                          "'" + std::string(key) + "' must hold ids");
    }
    return ids;
}

auto malformed(const json_fields& fields)
{
    return fail(version_errc::malformed, fields.error().detail);
}

version_result<json::value> parse(std::string_view text)
{
    auto parsed = parse_json(text);
    if (!parsed)
        return fail(version_errc::malformed, parsed.error().detail);
    return std::move(parsed).value();
}

version_result<fleet_view> decode_view(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse(text));
    json_fields fields(document, "view");
    fleet_view_options options;
    options.version =
        version_number(fields.number("version", 0, json_exact_limit));
    options.out_domains = to_set<domain_id>(fields, "out_domains");
    options.drained_agents = to_set<agent_id>(fields, "drained_agents");
    options.drained_entries = to_set<entry_id>(fields, "drained_entries");
    options.settings = fields.text("settings", settings_bytes);
    if (fields.failed())
        return malformed(fields);
    return fleet_view(std::move(options));
}

member_status member_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "member");
    member_status it;
    it.role = fields.text("role", text_bytes);
    it.id = fields.text("id", text_bytes);
    it.domain = fields.text("domain", text_bytes);
    it.address = fields.text("address", text_bytes);
    it.slots =
        static_cast<std::uint32_t>(fields.number("slots", 0, slot_limit));
    it.serving = fields.flag_or("serving", false);
    parent.absorb(fields);
    return it;
}

} // namespace

version_result<command_reply> decode_command_reply(std::string_view text)
{
    BOOST_OUTCOME_TRY(auto outcome, decode_outcome(text));
    BOOST_OUTCOME_TRY(const auto document, parse(text));
    json_fields fields(document, "");
    command_reply reply;
    reply.outcome = std::move(outcome);
    const auto fallback = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            default_in_force_after)
            .count());
    reply.in_force_after = std::chrono::milliseconds(
        fields.number_or("in_force_after_ms", fallback, 0, longest_wait_ms));
    if (fields.failed())
        return malformed(fields);
    return reply;
}

std::optional<endpoint> decode_leader_hint(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document)
        return std::nullopt;
    json_fields fields(document.value(), "");
    const auto address = fields.text_or("leader", "", text_bytes);
    auto parsed = parse_endpoint(address);
    if (fields.failed() || !parsed)
        return std::nullopt;
    return std::move(parsed).value();
}

std::string decode_error_detail(std::string_view text)
{
    const auto document = parse_json(text);
    if (!document)
        return std::string(text.substr(0, detail_bytes));
    json_fields fields(document.value(), "");
    const auto detail = fields.text("detail", detail_bytes);
    return fields.failed() ? std::string(text.substr(0, detail_bytes)) : detail;
}

std::string encode_replica_view(const fleet_view& view)
{
    const json::object object{
        {"version", view->version.number()},
        {"out_domains", to_array(view->out_domains)},
        {"drained_agents", to_array(view->drained_agents)},
        {"drained_entries", to_array(view->drained_entries)},
        {"settings", view->settings}};
    return json::serialize(object);
}

version_result<replica_status> decode_replica_status(std::string_view view,
                                                     std::string_view dump)
{
    replica_status status;
    BOOST_OUTCOME_TRY(status.view, decode_view(view));
    BOOST_OUTCOME_TRY(const auto document, parse(dump));
    json_fields fields(document, "state");
    status.id = fields.text("id", text_bytes);
    const auto* members = fields.array("members");
    if (members != nullptr)
    {
        for (const auto& it : *members)
            status.members.push_back(member_from_json(it, fields));
    }
    if (fields.failed())
        return malformed(fields);
    return status;
}

} // namespace lagoonquay
