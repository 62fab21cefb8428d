#include "lagoonquay/process/ledger_codec.hpp"

#include "held_claims_json.hpp"
#include "lagoonquay/request/json_fields.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::size_t id_bytes = 128;
constexpr std::array<std::string_view, 6> verdict_names{
    "granted", "held", "closed", "mismatch", "fenced", "unknown_reach"};

json::array reach_to_json(const agent_reach& reach)
{
    json::array array;
    for (const auto& it : reach)
        array.push_back(json::object{{"agent", it.agent.text()},
                                     {"run", std::to_string(it.run.number())}});
    return array;
}

agent_reach reach_from_array(const json::array& source, json_fields& fields)
{
    agent_reach::list agents;
    for (const auto& it : source)
    {
        json_fields agent(it, "reach");
        agents.push_back({agent_id(agent.text("agent", id_bytes)),
                          incarnation(agent.wide_number("run"))});
        fields.absorb(agent);
    }
    return agent_reach(std::move(agents));
}

agent_reach reach_from_json(json_fields& fields)
{
    const auto* source = fields.array("reach");
    return source == nullptr ? agent_reach()
                             : reach_from_array(*source, fields);
}

duration get_duration(json_fields& fields, std::string_view key)
{
    return duration(fields.number(key, 0, json_exact_limit));
}

claim_verdict get_verdict(json_fields& fields)
{
    const auto name = fields.text("verdict", id_bytes);
    for (std::size_t n = 0; n < verdict_names.size(); ++n)
    {
        if (verdict_names[n] == name)
            return static_cast<claim_verdict>(n);
    }
    fields.reject(request_errc::malformed, "unknown verdict '" + name + "'");
    return claim_verdict::fenced;
}

//! Encodes a claim without its reach, which requests and lists of claims encode
//! in different ways. Fields that have their default in most claims are
//! omitted.
json::object claim_to_json(const claim_request& request)
{
    json::object object{
        {"submission", request->submission.text()},
        {"digest", std::to_string(request->digest.number())},
        {"holder", request->holder.text()},
        {"holder_run", std::to_string(request->holder_run.number())},
        {"holder_address", request->holder_address},
        {"ask", request->ask.number()},
        {"lease_us", request->lease.count()}};
    if (request->dated)
        object["created_ms"] = request->created.time_since_epoch().count();
    if (request->round != claim_round())
        object["round"] = request->round.number();
    if (request->close)
        object["close"] = true;
    if (request->release)
        object["release"] = true;
    if (request->lookup)
        object["lookup"] = true;
    // Nobody holds round zero.
    if (request->lapsed && request->round != claim_round())
        object["lapsed"] = true;
    return object;
}

claim_request_options claim_from_json(json_fields& fields)
{
    claim_request_options options;
    options.submission = submission_id(fields.text("submission", id_bytes));
    options.digest = content_digest(fields.wide_number("digest"));
    options.dated = fields.member("created_ms") != nullptr;
    options.created = wall_time(std::chrono::milliseconds(
        fields.number_or("created_ms", 0, 0, json_exact_limit)));
    options.holder = entry_id(fields.text("holder", id_bytes));
    options.holder_run = incarnation(fields.wide_number("holder_run"));
    options.holder_address = fields.text("holder_address", id_bytes);
    options.round =
        claim_round(fields.number_or("round", 0, 0, json_exact_limit));
    options.ask =
        claim_sequence(fields.number_or("ask", 0, 0, json_exact_limit));
    options.close = fields.flag_or("close", false);
    options.release = fields.flag_or("release", false);
    options.lookup = fields.flag_or("lookup", false);
    options.lapsed =
        fields.flag_or("lapsed", false) && options.round != claim_round();
    options.lease = get_duration(fields, "lease_us");
    return options;
}

//! The distinct reaches of several claims, so that each is encoded only once.
class reach_table
{
public:
    //! @return the index of the reach in the table, to which it is added if
    //! new.
    std::size_t add(const agent_reach& reach)
    {
        const auto found = std::find(reaches_.begin(), reaches_.end(), reach);
        if (found != reaches_.end())
            return static_cast<std::size_t>(found - reaches_.begin());
        reaches_.push_back(reach);
        return reaches_.size() - 1;
    }

    json::array to_json() const
    {
        json::array all;
        for (const auto& it : reaches_)
            all.push_back(reach_to_json(it));
        return all;
    }

private:
    std::vector<agent_reach> reaches_;
};

std::vector<agent_reach> reaches_from_json(json_fields& fields)
{
    std::vector<agent_reach> all;
    const auto* source = fields.array("reaches");
    if (source == nullptr)
        return all;
    for (const auto& it : *source)
    {
        if (it.is_array())
            all.push_back(reach_from_array(it.get_array(), fields));
        else
            fields.reject(request_errc::malformed, "a reach is a list");
    }
    return all;
}

//! Decodes a claim that refers to its reach by its index in a table.
claim_request_options
listed_claim_from_json(json_fields& fields,
                       const std::vector<agent_reach>& reaches)
{
    auto options = claim_from_json(fields);
    const auto index = fields.number("reach", 0, json_exact_limit);
    if (index < reaches.size())
        options.reach = reaches[index];
    else
        fields.reject(request_errc::malformed, "no such reach");
    return options;
}

json::array groups_to_json(const std::vector<std::vector<endpoint>>& groups)
{
    json::array all;
    for (const auto& it : groups)
        all.push_back(json::string(endpoints_to_text(it)));
    return all;
}

std::vector<std::vector<endpoint>> groups_from_json(json_fields& fields)
{
    constexpr std::size_t max_groups = 16;
    std::vector<std::vector<endpoint>> all;
    if (fields.member("groups") == nullptr)
        return all;
    const auto* source = fields.array("groups");
    if (source == nullptr)
        return all;
    for (const auto& it : *source)
    {
        auto group = it.is_string()
                         ? parse_endpoints(std::string_view(it.get_string()))
                         : parse_endpoints("-");
        if (!group || all.size() == max_groups)
        {
            fields.reject(request_errc::malformed, "no groups of endpoints");
            return {};
        }
        all.push_back(std::move(group).value());
    }
    return all;
}

} // namespace

std::string encode_claim_request(const claim_request& request)
{
    auto object = claim_to_json(request);
    object["reach_number"] = request->cached_reach_number.number();
    if (request->entries != entries_digest())
        object["entries"] = request->entries.number();
    if (request->asks_entries)
        object["asks_entries"] = true;
    if (request->contains_reach)
        object["reach"] = reach_to_json(request->reach);
    return json::serialize(object);
}

request_result<claim_request> decode_claim_request(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    auto options = claim_from_json(fields);
    options.cached_reach_number =
        reach_number(fields.number_or("reach_number", 0, 0, json_exact_limit));
    options.contains_reach = options.cached_reach_number == reach_number() ||
                             fields.member("reach") != nullptr;
    if (options.contains_reach)
        options.reach = reach_from_json(fields);
    options.entries =
        entries_digest(fields.number_or("entries", 0, 0, json_exact_limit));
    options.asks_entries = fields.flag_or("asks_entries", false);
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return claim_request(std::move(options));
}

std::string encode_held_claims(const held_claims& held)
{
    reach_table reaches;
    json::array array;
    for (const auto& it : held.claims)
    {
        auto object = claim_to_json(it);
        object["reach"] = reaches.add(it->reach);
        array.push_back(std::move(object));
    }
    json::object object{{"claims", std::move(array)},
                        {"reaches", reaches.to_json()}};
    write_held_state(object, held);
    return json::serialize(object);
}

request_result<held_claims> decode_held_claims(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    auto held = read_held_state(fields);
    const auto* source = fields.array("claims");
    if (source != nullptr)
    {
        const auto reaches = reaches_from_json(fields);
        for (const auto& it : *source)
        {
            json_fields claim(it, "claims");
            held.claims.emplace_back(listed_claim_from_json(claim, reaches));
            fields.absorb(claim);
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return held;
}

std::string encode_ledger_records(const ledger_record_page& page)
{
    reach_table reaches;
    json::array array;
    for (const auto& it : page.records)
    {
        auto object = claim_to_json(it->claim);
        object["reach"] = reaches.add(it->claim->reach);
        if (it->highest_round != it->claim->round)
            object["highest_round"] = it->highest_round.number();
        array.push_back(std::move(object));
    }
    json::object object{{"records", std::move(array)},
                        {"reaches", reaches.to_json()}};
    if (page.next)
        object["next"] = *page.next;
    return json::serialize(object);
}

request_result<ledger_record_page> decode_ledger_records(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    ledger_record_page page;
    if (fields.member("next") != nullptr)
        page.next = fields.number("next", 0, json_exact_limit);
    const auto* source = fields.array("records");
    if (source != nullptr)
    {
        const auto reaches = reaches_from_json(fields);
        for (const auto& it : *source)
        {
            json_fields record(it, "records");
            const claim_request claim(listed_claim_from_json(record, reaches));
            const claim_round highest(record.number_or(
                "highest_round", claim->round.number(), 0, json_exact_limit));
            page.records.emplace_back(ledger_record_options{claim, highest});
            fields.absorb(record);
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return page;
}

std::string encode_claim_vote(const claim_vote& vote)
{
    const auto verdict = static_cast<std::size_t>(vote->verdict);
    json::object object{{"verdict", verdict_names.at(verdict)},
                        {"round", vote->round.number()}};
    if (!vote->holder_address.empty())
        object["holder_address"] = vote->holder_address;
    if (vote->first_claim_age.count() != 0)
        object["first_claim_age_us"] = vote->first_claim_age.count();
    if (!vote->reach.empty())
        object["reach"] = reach_to_json(vote->reach);
    if (vote->same_entries)
        object["same_entries"] = *vote->same_entries;
    if (vote->entries_for.count() != 0)
        object["entries_for_us"] = vote->entries_for.count();
    if (!vote->groups.empty())
        object["groups"] = groups_to_json(vote->groups);
    return json::serialize(object);
}

request_result<claim_vote> decode_claim_vote(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    claim_vote_options options;
    options.verdict = get_verdict(fields);
    options.holder_address = fields.text_or("holder_address", "", id_bytes);
    options.round = claim_round(fields.number("round", 0, json_exact_limit));
    options.first_claim_age = duration(
        fields.number_or("first_claim_age_us", 0, 0, json_exact_limit));
    if (fields.member("reach") != nullptr)
        options.reach = reach_from_json(fields);
    if (fields.member("same_entries") != nullptr)
        options.same_entries = fields.flag_or("same_entries", false);
    options.entries_for =
        duration(fields.number_or("entries_for_us", 0, 0, json_exact_limit));
    options.groups = groups_from_json(fields);
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return claim_vote(std::move(options));
}

} // namespace lagoonquay
