// How a replica with an empty log finds its cluster or starts a new one.
#include "control_replica_core.hpp"
#include "lagoonquay/process/log.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "replica";
const log_index first_index(1);

// A member that was replaced while it was away hears from no leader any more.
constexpr duration leaderless_greeting = std::chrono::seconds(2);

} // namespace

// The first membership is passed on only while it is still the newest: a
// replica that installs it must begin its log with the very same entry.
replica_greeting control_replica_core::greeting() const
{
    replica_greeting given{{node_, options_.name, options_.address, false},
                           cluster_number(),
                           membership(),
                           options_.may_bootstrap,
                           member_addresses()};
    if (decisions_.empty())
        return given;
    given.cluster = decisions_.status().state.cluster;
    if (decisions_.log().members_index() == first_index)
        given.members = decisions_.log().members();
    return given;
}

std::vector<std::string> control_replica_core::member_addresses() const
{
    std::vector<std::string> found;
    for (const auto& it : decisions_.log().members()->members)
        found.push_back(it.address);
    return found;
}

bool control_replica_core::looks_for_cluster() const
{
    if (decisions_.empty())
        return true;
    if (options_.voters == 0 || decisions_.leads())
        return false;
    const auto heard = leader_heard_.value_or(started_);
    return hooks_->now() - heard > leaderless_greeting;
}

void control_replica_core::greet_peers(deferred_calls& calls)
{
    for (const auto& it : greeted_)
        calls.push_back([hooks = hooks_, it, given = greeting()]
                        { hooks->greet(it, given); });
}

void control_replica_core::add_peer(const std::string& address)
{
    if (address != options_.address)
        greeted_.insert(address);
}

void control_replica_core::on_greeting(const replica_greeting& other,
                                       deferred_calls& calls)
{
    if (!storage_error_.empty())
        return;
    for (const auto& it : other.addresses)
        add_peer(it);
    if (!decisions_.empty())
    {
        const bool may_join =
            other.cluster == cluster_number() ||
            (options_.voters > 0 &&
             other.cluster == decisions_.status().state.cluster);
        if (may_join)
            decisions_.on_join(other.self);
        return carry_out(calls);
    }
    if (is_peer(other.self.address))
        greetings_.insert_or_assign(other.self.name, other);
    // The membership names this life of the data folder, so this replica has
    // forgotten nothing that the cluster may count on.
    if (is_voter(other.members, node_))
    {
        write_log(log_level::info, part, "Joins the first members.");
        decisions_.bootstrap(other.cluster, other.members);
    }
    else
        bootstrap_if_all_agree();
    carry_out(calls);
}

bool control_replica_core::is_peer(const std::string& address) const
{
    return std::find(options_.peers.begin(), options_.peers.end(), address) !=
           options_.peers.end();
}

// A new cluster needs every replica of the settings to be empty and told to
// start one. So a wiped replica never starts one beside the others, even if
// the setting was left in its file. Only the first name draws the cluster's
// number; a second one could otherwise be drawn at the same time.
void control_replica_core::bootstrap_if_all_agree()
{
    if (!options_.may_bootstrap || greetings_.size() != options_.peers.size())
        return;
    const auto self = greeting();
    membership_options first;
    first.members.push_back(self.self);
    for (const auto& [name, it] : greetings_)
    {
        if (it.cluster != cluster_number() || !it.may_bootstrap ||
            name <= options_.name)
            return;
        first.members.push_back(it.self);
    }
    for (auto& it : first.members)
        it.voter = true;
    write_log(log_level::info, part, "Starts a new cluster.");
    decisions_.bootstrap(hooks_->draw_cluster(), membership(std::move(first)));
}

} // namespace lagoonquay
