#include "lagoonquay/process/operator_output.hpp"

#include "lagoonquay/version/ini_file.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::string_view exception_prefix = "customer:";

template <typename Ids>
std::string joined(const Ids& ids)
{
    std::string line;
    for (const auto& it : ids)
        line.append(line.empty() ? "" : ", ").append(it.text());
    return line.empty() ? "none" : line;
}

template <typename Ids>
json::array to_array(const Ids& ids)
{
    json::array array;
    for (const auto& it : ids)
        array.push_back(json::value(it.text()));
    return array;
}

//! Members of one failure domain, counted.
struct domain_totals
{
    std::size_t entries = 0;
    std::size_t agents = 0;
    std::size_t serving = 0;
    std::uint64_t slots = 0;
};

std::map<std::string, domain_totals>
totals_by_domain(const std::vector<member_status>& members)
{
    std::map<std::string, domain_totals> totals;
    for (const auto& it : members)
    {
        auto& domain = totals[it.domain];
        domain.serving += it.serving ? 1 : 0;
        domain.slots += it.slots;
        ++(it.role == "entry" ? domain.entries : domain.agents);
    }
    return totals;
}

json::object to_json(const member_status& it)
{
    return {{"role", it.role},     {"id", it.id},
            {"domain", it.domain}, {"address", it.address},
            {"slots", it.slots},   {"serving", it.serving}};
}

std::string domain_line(const std::string& name, const domain_totals& it,
                        bool out)
{
    std::string line = "  " + name + ": ";
    line.append(out ? "OUT" : "in service");
    line.append(", ").append(std::to_string(it.entries)).append(" entries, ");
    line.append(std::to_string(it.agents)).append(" agents, ");
    line.append(std::to_string(it.serving)).append(" serving, ");
    line.append(std::to_string(it.slots)).append(" slots\n");
    return line;
}

} // namespace

std::vector<settings_exception> exceptions_in(const std::string& settings)
{
    std::vector<settings_exception> found;
    auto parsed = ini_file::parse(settings, "settings");
    if (!parsed)
        return found;
    auto& file = parsed.value();
    for (const auto& section : file.sections())
    {
        if (!section.starts_with(exception_prefix))
            continue;
        settings_exception it{section, {}};
        for (const auto& entry : file.entries(section))
            it.lines.push_back(entry.key + " = " + entry.value);
        found.push_back(std::move(it));
    }
    return found;
}

std::string status_text(const fleet_status& status)
{
    const auto view = status.view();
    std::string text = "version " + std::to_string(view->version.number());
    text.append(", replicas answering ")
        .append(std::to_string(status.answered.size()))
        .append(" of ")
        .append(std::to_string(status.replicas))
        .append(status.has_quorum() ? "\n" : " (no majority: may be old)\n");
    for (const auto& it : status.answered)
        text.append("  replica ")
            .append(it.id)
            .append(" at ")
            .append(to_text(it.address))
            .append(": version ")
            .append(std::to_string(it.view->version.number()))
            .append("\n");
    text.append("domains out: ").append(joined(view->out_domains));
    text.append("\ndrained agents: ").append(joined(view->drained_agents));
    text.append("\ndrained entries: ").append(joined(view->drained_entries));
    text.append("\nfailure domains:\n");
    for (const auto& [name, it] : totals_by_domain(status.members()))
        text.append(
            domain_line(name, it, view->out_domains.contains(domain_id(name))));
    return text;
}

std::string status_json(const fleet_status& status)
{
    const auto view = status.view();
    json::array replicas;
    for (const auto& it : status.answered)
        replicas.push_back(
            json::object{{"id", it.id},
                         {"address", to_text(it.address)},
                         {"version", it.view->version.number()}});
    json::array members;
    for (const auto& it : status.members())
        members.push_back(to_json(it));
    const json::object object{
        {"version", view->version.number()},
        {"quorum", status.has_quorum()},
        {"replicas", std::move(replicas)},
        {"out_domains", to_array(view->out_domains)},
        {"drained_agents", to_array(view->drained_agents)},
        {"drained_entries", to_array(view->drained_entries)},
        {"members", std::move(members)}};
    return json::serialize(object) + "\n";
}

std::string exceptions_text(const std::vector<settings_exception>& found)
{
    if (found.empty())
        return "no exceptions\n";
    std::string text;
    for (const auto& it : found)
    {
        text.append("[").append(it.section).append("]\n");
        for (const auto& line : it.lines)
            text.append("  ").append(line).append("\n");
    }
    return text;
}

std::string exceptions_json(const std::vector<settings_exception>& found)
{
    json::array all;
    for (const auto& it : found)
    {
        json::array lines;
        for (const auto& line : it.lines)
            lines.push_back(json::value(line));
        all.push_back(json::object{{"section", it.section},
                                   {"values", std::move(lines)}});
    }
    return json::serialize(all) + "\n";
}

std::string settings_json(const fleet_view& view)
{
    const json::object object{{"version", view->version.number()},
                              {"settings", view->settings}};
    return json::serialize(object) + "\n";
}

std::string reply_text(const command& asked, const command_reply& reply)
{
    const auto& outcome = reply.outcome;
    const auto version = std::to_string(outcome.version.number());
    if (outcome.accepted)
        return "accepted as version " + version + "\n";
    std::string text = "not applied: version " + version + " is in force";
    if (asked->expected)
        text.append(", not ").append(std::to_string(asked->expected->number()));
    return text + "; made by '" + outcome.author + "'\n";
}

std::string reply_json(const command& asked, const command_reply& reply,
                       bool in_force)
{
    const json::object object{{"command_id", asked->id.text()},
                              {"accepted", reply.outcome.accepted},
                              {"version", reply.outcome.version.number()},
                              {"author", reply.outcome.author},
                              {"in_force", in_force}};
    return json::serialize(object) + "\n";
}

} // namespace lagoonquay
