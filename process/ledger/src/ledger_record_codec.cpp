#include "lagoonquay/process/ledger_record_codec.hpp"

#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/request/json_fields.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <tuple>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

//! The entry that a record names.
struct record_holder
{
    entry_id entry;
    incarnation run;
    std::string address;

    friend auto operator<=>(const record_holder&,
                            const record_holder&) = default;
};

record_holder holder_of(const claim_request& claim)
{
    return {claim->holder, claim->holder_run, claim->holder_address};
}

//! Numbers values in the order in which they come first.
template <typename Value>
class value_table
{
public:
    std::size_t add(const Value& it)
    {
        const auto [found, fresh] = numbers_.try_emplace(it, values_.size());
        if (fresh)
            values_.push_back(it);
        return found->second;
    }
    const std::vector<Value>& values() const noexcept
    {
        return values_;
    }

private:
    std::map<Value, std::size_t> numbers_;
    std::vector<Value> values_;
};

//! The distinct reaches of a page, as numbers of its agents.
class short_reaches
{
public:
    std::size_t add(const agent_reach& reach)
    {
        const auto found =
            std::find_if(reaches_.begin(), reaches_.end(),
                         [&](const agent_reach& it)
                         { return it.shares_list_with(reach) || it == reach; });
        if (found != reaches_.end())
            return static_cast<std::size_t>(found - reaches_.begin());
        reaches_.push_back(reach);
        return reaches_.size() - 1;
    }

    //! Adds the tables to a page.
    void write(json::object& page) const
    {
        value_table<agent_run_id> agents;
        json::array lists;
        for (const auto& reach : reaches_)
        {
            json::array list;
            for (const auto& it : reach)
                list.push_back(agents.add(it));
            lists.push_back(std::move(list));
        }
        json::array names;
        for (const auto& it : agents.values())
            names.push_back(
                json::array{it.agent.text(), std::to_string(it.run.number())});
        page["agents"] = std::move(names);
        page["reaches"] = std::move(lists);
    }

private:
    std::vector<agent_reach> reaches_;
};

//! Reads the items of one array in their order. The first error sticks.
class item_reader
{
public:
    item_reader(const json::value& source, json_fields& errors)
        : errors_(errors)
    {
        if (source.is_array())
            items_ = &source.get_array();
        else
            errors_.reject(request_errc::malformed, "not an array");
    }

    std::string text()
    {
        constexpr std::size_t longest = 256;
        const auto* it = next();
        if (it != nullptr && it->is_string() &&
            it->get_string().size() <= longest)
            return std::string(it->get_string());
        errors_.reject(request_errc::malformed, "not a short text");
        return {};
    }

    std::uint64_t number()
    {
        const auto* it = next();
        if (it != nullptr && it->is_int64() && it->get_int64() >= 0 &&
            static_cast<std::uint64_t>(it->get_int64()) <= json_exact_limit)
            return static_cast<std::uint64_t>(it->get_int64());
        errors_.reject(request_errc::malformed, "not a whole number");
        return 0;
    }

    //! Reads a 64-bit number that was written as a decimal text.
    std::uint64_t wide_number()
    {
        const auto written = text();
        json::object object{{"n", written}};
        const json::value value(std::move(object));
        json_fields fields(value, "");
        const auto read = fields.wide_number("n");
        errors_.absorb(fields);
        return read;
    }

    //! @return the value that a number names, or one of defaults.
    template <typename Value>
    Value item_of(const std::vector<Value>& table)
    {
        const auto index = number();
        if (index < table.size())
            return table[index];
        errors_.reject(request_errc::malformed, "no such item of a table");
        return {};
    }

    void expect_end()
    {
        if (items_ != nullptr && at_ != items_->size())
            errors_.reject(request_errc::malformed, "too many items");
    }

    bool at_end() const noexcept
    {
        return items_ == nullptr || at_ >= items_->size();
    }

private:
    const json::value* next()
    {
        return at_end() ? nullptr : &(*items_)[at_++];
    }

    json_fields& errors_;
    const json::array* items_ = nullptr;
    std::size_t at_ = 0;
};

json::array record_to_json(const ledger_record& it, std::size_t holder,
                           std::size_t reach)
{
    const auto& claim = it->claim;
    return {claim->submission.text(),
            std::to_string(claim->digest.number()),
            holder,
            claim->round.number(),
            claim->ask.number(),
            claim->lease.count(),
            reach,
            it->highest_round.number(),
            claim->close ? 1 : 0,
            claim->dated ? claim->created.time_since_epoch().count() + 1 : 0,
            it->lapsed_for.count()};
}

ledger_record record_from_json(const json::value& source,
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
    claim.round = claim_round(items.number());
    claim.ask = claim_sequence(items.number());
    claim.lease = duration(items.number());
    claim.reach = items.item_of(reaches);
    const claim_round highest(items.number());
    claim.close = items.number() != 0;
    const auto created = items.number();
    claim.dated = created != 0;
    if (claim.dated)
        claim.created = wall_time(std::chrono::milliseconds(created - 1));
    const duration lapsed_for(items.number());
    items.expect_end();
    return ledger_record(
        ledger_record_options{.claim = claim_request(std::move(claim)),
                              .highest_round = highest,
                              .lapsed_for = lapsed_for});
}

std::vector<agent_run_id> agents_from_json(json_fields& fields)
{
    std::vector<agent_run_id> agents;
    const auto* source = fields.array("agents");
    if (source == nullptr)
        return agents;
    for (const auto& it : *source)
    {
        item_reader items(it, fields);
        agent_id agent(items.text());
        agents.push_back({std::move(agent), incarnation(items.wide_number())});
        items.expect_end();
    }
    return agents;
}

std::vector<agent_reach> reaches_from_json(json_fields& fields)
{
    std::vector<agent_reach> reaches;
    const auto agents = agents_from_json(fields);
    const auto* source = fields.array("reaches");
    if (source == nullptr)
        return reaches;
    for (const auto& it : *source)
    {
        item_reader items(it, fields);
        agent_reach::list list;
        while (!items.at_end() && !fields.failed())
            list.push_back(items.item_of(agents));
        reaches.emplace_back(std::move(list));
    }
    return reaches;
}

std::vector<record_holder> holders_from_json(json_fields& fields)
{
    std::vector<record_holder> holders;
    const auto* source = fields.array("holders");
    if (source == nullptr)
        return holders;
    for (const auto& it : *source)
    {
        item_reader items(it, fields);
        entry_id entry(items.text());
        const incarnation run(items.wide_number());
        holders.push_back({std::move(entry), run, items.text()});
        items.expect_end();
    }
    return holders;
}

} // namespace

std::string encode_record_page(const ledger_record_page& page)
{
    short_reaches reaches;
    value_table<record_holder> holders;
    json::array records;
    for (const auto& it : page.records)
        records.push_back(record_to_json(it, holders.add(holder_of(it->claim)),
                                         reaches.add(it->claim->reach)));
    json::array names;
    for (const auto& it : holders.values())
        names.push_back(json::array{
            it.entry.text(), std::to_string(it.run.number()), it.address});
    json::object object{{"holders", std::move(names)},
                        {"records", std::move(records)}};
    reaches.write(object);
    if (page.next)
        object["next"] = *page.next;
    return json::serialize(object);
}

request_result<ledger_record_page> decode_record_page(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    if (fields.member("holders") == nullptr)
        return decode_ledger_records(text);
    ledger_record_page page;
    if (fields.member("next") != nullptr)
        page.next = fields.number("next", 0, json_exact_limit);
    const auto holders = holders_from_json(fields);
    const auto reaches = reaches_from_json(fields);
    const auto* source = fields.array("records");
    if (source != nullptr)
    {
        for (const auto& it : *source)
        {
            if (fields.failed())
                break;
            page.records.push_back(
                record_from_json(it, holders, reaches, fields));
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return page;
}

std::string encode_record_scope(const record_scope& scope)
{
    json::array entries;
    for (const auto& it : scope->entries)
        entries.push_back(json::array{to_text(it.address), it.domain.text()});
    return json::serialize(json::object{{"self", to_text(scope->self)},
                                        {"entries", std::move(entries)}});
}

request_result<record_scope> decode_record_scope(std::string_view text)
{
    constexpr std::size_t max_address = 256;
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    const auto read_address = [&](const std::string& written)
    {
        auto address = parse_endpoint(written);
        if (address)
            return std::move(address).value();
        fields.reject(request_errc::malformed, "no address and port");
        return endpoint();
    };
    record_scope_options scope;
    scope.self = read_address(fields.text("self", max_address));
    const auto* source = fields.array("entries");
    if (source != nullptr)
    {
        for (const auto& it : *source)
        {
            item_reader items(it, fields);
            auto address = read_address(items.text());
            scope.entries.push_back(
                {std::move(address), domain_id(items.text())});
            items.expect_end();
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return record_scope(std::move(scope));
}

} // namespace lagoonquay
