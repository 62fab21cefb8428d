#include "lagoonquay/process/held_claims_codec.hpp"

#include "held_claims_json.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "short_tables.hpp"

#include <utility>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

std::optional<std::vector<endpoint>> endpoints_from_json(json_fields& fields)
{
    constexpr std::size_t max_bytes = 65536;
    if (fields.member("established") == nullptr)
        return std::nullopt;
    auto all = parse_endpoints(fields.text_or("established", "", max_bytes));
    if (all)
        return std::move(all).value();
    fields.reject(request_errc::malformed, "no list of endpoints");
    return std::nullopt;
}

// Most claims that are held have no creation time and have not lapsed.
json::array claim_to_json(const claim_request& it, std::size_t holder,
                          std::size_t reach)
{
    json::array items{it->submission.text(),
                      std::to_string(it->digest.number()),
                      holder,
                      reach,
                      it->ask.number(),
                      it->lease.count(),
                      it->round.number()};
    const bool lapsed = it->lapsed && it->round != claim_round();
    if (lapsed || it->dated)
        items.emplace_back(lapsed ? 1 : 0);
    if (it->dated)
        items.emplace_back(it->created.time_since_epoch().count());
    return items;
}

claim_request claim_from_json(const json::value& source,
                              const std::vector<record_holder>& holders,
                              const std::vector<agent_reach>& reaches,
                              json_fields& errors)
{
    item_reader items(source, errors);
    claim_request_options claim;
    claim.submission = submission_id(items.text());
    claim.digest = content_digest(items.wide_number());
    const auto holder = items.item_of(holders);
    claim.holder = holder.entry;
    claim.holder_run = holder.run;
    claim.holder_address = holder.address;
    claim.reach = items.item_of(reaches);
    claim.ask = claim_sequence(items.number());
    claim.lease = duration(items.number());
    claim.round = claim_round(items.number());
    if (!items.at_end())
        claim.lapsed = items.number() != 0 && claim.round != claim_round();
    claim.dated = !items.at_end();
    if (claim.dated)
        claim.created = wall_time(std::chrono::milliseconds(items.number()));
    items.expect_end();
    return claim_request(std::move(claim));
}

} // namespace

std::string endpoints_to_text(const std::vector<endpoint>& all)
{
    std::string text;
    for (const auto& it : all)
        text += (text.empty() ? "" : ",") + to_text(it);
    return text;
}

void write_held_state(json::object& message, const held_claims& held)
{
    message["settled"] = held.settled;
    if (held.established)
        message["established"] = endpoints_to_text(*held.established);
    if (held.listed_for.count() != 0)
        message["listed_for_us"] = held.listed_for.count();
    if (held.entries != entries_digest())
        message["entries"] = held.entries.number();
    if (held.entries_for)
        message["entries_for_us"] = held.entries_for->count();
}

held_claims read_held_state(json_fields& fields)
{
    held_claims held;
    held.settled = fields.flag_or("settled", false);
    held.established = endpoints_from_json(fields);
    held.listed_for =
        duration(fields.number_or("listed_for_us", 0, 0, json_exact_limit));
    held.entries =
        entries_digest(fields.number_or("entries", 0, 0, json_exact_limit));
    if (fields.member("entries_for_us") != nullptr)
        held.entries_for =
            duration(fields.number("entries_for_us", 0, json_exact_limit));
    return held;
}

std::string encode_short_held_claims(const held_claims& held,
                                     const reach_digests& known)
{
    short_reaches reaches(known);
    value_table<record_holder> holders;
    json::array claims;
    for (const auto& it : held.claims)
        claims.push_back(claim_to_json(it, holders.add(holder_of(it)),
                                       reaches.add(it->reach)));
    json::object object{{"holders", holders_to_json(holders.values())},
                        {"claims", std::move(claims)}};
    reaches.write(object);
    write_held_state(object, held);
    return json::serialize(object);
}

request_result<told_claims>
decode_short_held_claims(std::string_view text, const reaches_by_digest& known)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    if (fields.member("holders") == nullptr)
    {
        BOOST_OUTCOME_TRY(auto held, decode_held_claims(text));
        return told_claims{.held = std::move(held)};
    }
    told_claims told{.held = read_held_state(fields)};
    const auto holders = holders_from_json(fields);
    told.reaches = short_reaches_from_json(fields, known);
    const auto* source = fields.array("claims");
    if (source != nullptr)
    {
        for (const auto& it : *source)
        {
            if (fields.failed())
                break;
            told.held.claims.push_back(
                claim_from_json(it, holders, told.reaches, fields));
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return told;
}

} // namespace lagoonquay
