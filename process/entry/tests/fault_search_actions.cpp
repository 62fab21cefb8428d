// The moments and actions of a search for faults.
#include "fault_search_play.hpp"

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string entry_name(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

void add_starts(std::vector<fault_action>& all)
{
    for (const int delay : {4, 14})
    {
        for (const bool meets : {false, true})
            all.push_back({.name = "the first start is held up by " +
                                   std::to_string(delay) + " s" +
                                   (meets ? " and meets a next life" : ""),
                           .faults = meets ? 2U : 1U,
                           .when = fault_time::at_start,
                           .apply = [delay, meets](fault_play& it)
                           {
                               return it.hold_up_start({.delay = seconds(delay),
                                                        .answer_lost = true},
                                                       meets);
                           }});
    }
    all.push_back({.name = "the answer of the first start is lost",
                   .when = fault_time::at_start,
                   .apply = [](fault_play& it)
                   {
                       return it.hold_up_start({.answer_lost = true}, false);
                   }});
}

void add_agents(std::vector<fault_action>& all)
{
    all.push_back({.name = "the agent is apart from entry-0",
                   .when = fault_time::after_start,
                   .apply = [](fault_play& it)
                   {
                       return it.separate(0, true);
                   }});
    all.push_back({.name = "the agent is apart from all",
                   .when = fault_time::after_start,
                   .apply = [](fault_play& it)
                   {
                       return it.separate_from_all(true);
                   }});
    all.push_back({.name = "the agent is joined again",
                   .when = fault_time::after_start,
                   .needs = "the agent is apart from",
                   .apply = [](fault_play& it)
                   {
                       return it.separate_from_all(false);
                   }});
    all.push_back({.name = "the agent begins anew",
                   .when = fault_time::after_start,
                   .apply = [](fault_play& it)
                   {
                       return it.renew_agent();
                   }});
    all.push_back({.name = "the worker begins anew",
                   .when = fault_time::after_start,
                   .apply = [](fault_play& it)
                   {
                       return it.renew_life();
                   }});
}

void add_entry(std::vector<fault_action>& all, std::size_t entry)
{
    const auto name = entry_name(entry);
    all.push_back({.name = name + " dies",
                   .apply = [entry](fault_play& it)
                   {
                       return it.kill_entry(entry);
                   }});
    all.push_back({.name = name + " begins anew",
                   .apply = [entry](fault_play& it)
                   {
                       return it.renew_entry(entry);
                   }});
    all.push_back({.name = name + " is cut off",
                   .apply = [entry](fault_play& it)
                   {
                       return it.cut_off(entry, true);
                   }});
    all.push_back({.name = name + " is back",
                   .needs = name + " is cut off",
                   .apply = [entry](fault_play& it)
                   {
                       return it.cut_off(entry, false);
                   }});
    all.push_back({.name = name + " hears of no other list",
                   .apply = [entry](fault_play& it)
                   {
                       return it.hold_list(entry);
                   }});
}

void add_pairs(std::vector<fault_action>& all)
{
    for (const auto& [a, b] : {std::pair{0, 1}, {0, 2}, {1, 2}})
        all.push_back(
            {.name = entry_name(static_cast<std::size_t>(a)) + " and " +
                     entry_name(static_cast<std::size_t>(b)) + " are parted",
             .apply = [a = a, b = b](fault_play& it)
             {
                 return it.part(static_cast<std::size_t>(a),
                                static_cast<std::size_t>(b));
             }});
}

void add_joins(std::vector<fault_action>& all)
{
    for (const std::size_t count : {1U, 2U})
        all.push_back(
            {.name = std::to_string(count) + (count == 1 ? " joins" : " join"),
             .apply = [count](fault_play& it)
             {
                 return it.join_late_entries(3, count);
             }});
}

void add_callers(std::vector<fault_action>& all)
{
    const std::vector<std::pair<std::size_t, std::string>> entries{
        {0, "entry-0 begins anew"}, {1, ""}, {2, ""}, {3, "join"}};
    for (const auto& [entry, needs] : entries)
        all.push_back({.name = "the job is sent again to " + entry_name(entry),
                       .faults = 0,
                       .when = fault_time::after_start,
                       .needs = needs,
                       .apply = [entry = entry](fault_play& it)
                       {
                           return it.submit_again(entry);
                       }});
}

} // namespace

// The first is long enough before the job for two leases and a list to pass.
const std::vector<duration>& fault_moments()
{
    static const std::vector<duration> all{
        milliseconds(-4500), milliseconds(0),    milliseconds(100),
        milliseconds(2300),  milliseconds(4000), milliseconds(7000),
        milliseconds(14000)};
    return all;
}

const std::vector<fault_action>& fault_actions()
{
    static const std::vector<fault_action> all = []
    {
        std::vector<fault_action> made;
        add_starts(made);
        add_agents(made);
        for (std::size_t n = 0; n < 3; ++n)
            add_entry(made, n);
        add_pairs(made);
        add_joins(made);
        add_callers(made);
        return made;
    }();
    return all;
}

} // namespace lagoonquay
