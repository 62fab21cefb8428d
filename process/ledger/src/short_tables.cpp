#include "short_tables.hpp"

#include <algorithm>
#include <utility>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

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

agent_reach reach_from_list(const json::value& source,
                            const std::vector<agent_run_id>& agents,
                            json_fields& fields)
{
    item_reader items(source, fields);
    agent_reach::list list;
    while (!items.at_end() && !fields.failed())
        list.push_back(items.item_of(agents));
    return agent_reach(std::move(list));
}

agent_reach reach_from_digest(const json::string& written,
                              const reaches_by_digest& known,
                              json_fields& fields)
{
    const auto digests = parse_reach_digests(written);
    if (digests && digests->size() == 1)
    {
        const auto found = known.find(*digests->begin());
        if (found != known.end())
            return found->second;
    }
    fields.reject(request_errc::malformed, "no known reach");
    return {};
}

} // namespace

record_holder holder_of(const claim_request& claim)
{
    return {claim->holder, claim->holder_run, claim->holder_address};
}

short_reaches::short_reaches(reach_digests known) : known_(std::move(known))
{
}

std::size_t short_reaches::add(const agent_reach& reach)
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

void short_reaches::write(json::object& message) const
{
    value_table<agent_run_id> agents;
    json::array lists;
    for (const auto& reach : reaches_)
    {
        const auto digest = digest_of(reach);
        if (known_.contains(digest))
        {
            lists.emplace_back(std::to_string(digest.number()));
            continue;
        }
        json::array list;
        for (const auto& it : reach)
            list.push_back(agents.add(it));
        lists.push_back(std::move(list));
    }
    json::array names;
    for (const auto& it : agents.values())
        names.push_back(
            json::array{it.agent.text(), std::to_string(it.run.number())});
    message["agents"] = std::move(names);
    message["reaches"] = std::move(lists);
}

item_reader::item_reader(const json::value& source, json_fields& errors)
    : errors_(errors)
{
    if (source.is_array())
        items_ = &source.get_array();
    else
        errors_.reject(request_errc::malformed, "not an array");
}

std::string item_reader::text()
{
    constexpr std::size_t longest = 256;
    const auto* it = next();
    if (it != nullptr && it->is_string() && it->get_string().size() <= longest)
        return std::string(it->get_string());
    errors_.reject(request_errc::malformed, "not a short text");
    return {};
}

std::uint64_t item_reader::number()
{
    const auto* it = next();
    if (it != nullptr && it->is_int64() && it->get_int64() >= 0 &&
        static_cast<std::uint64_t>(it->get_int64()) <= json_exact_limit)
        return static_cast<std::uint64_t>(it->get_int64());
    errors_.reject(request_errc::malformed, "not a whole number");
    return 0;
}

std::uint64_t item_reader::wide_number()
{
    const auto written = text();
    json::object object{{"n", written}};
    const json::value value(std::move(object));
    json_fields fields(value, "");
    const auto read = fields.wide_number("n");
    errors_.absorb(fields);
    return read;
}

void item_reader::expect_end()
{
    if (items_ != nullptr && at_ != items_->size())
        errors_.reject(request_errc::malformed, "too many items");
}

bool item_reader::at_end() const noexcept
{
    return items_ == nullptr || at_ >= items_->size();
}

const json::value* item_reader::next()
{
    return at_end() ? nullptr : &(*items_)[at_++];
}

json::array holders_to_json(const std::vector<record_holder>& holders)
{
    json::array all;
    for (const auto& it : holders)
        all.push_back(json::array{it.entry.text(),
                                  std::to_string(it.run.number()), it.address});
    return all;
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

std::vector<agent_reach> short_reaches_from_json(json_fields& fields,
                                                 const reaches_by_digest& known)
{
    std::vector<agent_reach> reaches;
    const auto agents = agents_from_json(fields);
    const auto* source = fields.array("reaches");
    if (source == nullptr)
        return reaches;
    for (const auto& it : *source)
    {
        if (it.is_string())
            reaches.push_back(
                reach_from_digest(it.get_string(), known, fields));
        else
            reaches.push_back(reach_from_list(it, agents, fields));
    }
    return reaches;
}

} // namespace lagoonquay
