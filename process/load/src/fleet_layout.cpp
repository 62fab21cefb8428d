#include "lagoonquay/load/fleet_layout.hpp"

#include <sstream>

namespace lagoonquay::load
{

namespace
{

constexpr std::uint16_t callers_port = 7100;
constexpr std::uint16_t peers_port = 7101;
constexpr std::uint16_t operators_port = 7102;
constexpr std::uint16_t members_port = 7103;
constexpr std::uint16_t links_port = 7104;
constexpr std::uint16_t announce_port = 7105;
constexpr std::uint16_t tasks_port = 7106;

// Last parts of the addresses; the ranges do not meet at the largest counts.
constexpr std::size_t first_control = 2;
constexpr std::size_t first_entry = 20;
constexpr std::size_t first_agent = 100;

template <typename Address>
std::vector<endpoint> collect(std::uint64_t count, Address address)
{
    std::vector<endpoint> found;
    for (std::size_t n = 0; n < count; ++n)
        found.push_back(address(n));
    return found;
}

std::string join(const std::vector<endpoint>& endpoints)
{
    std::string text;
    for (const auto& it : endpoints)
        text += (text.empty() ? "" : ", ") + to_text(it);
    return text;
}

std::string common(const fleet_layout& layout, const std::string& id,
                   std::size_t number, const endpoint& operators)
{
    const auto replicas = collect(layout.shape().controls, [&](std::size_t n)
                                  { return layout.control(n, members_port); });
    std::ostringstream out;
    out << "[process]\nid = " << id << "\ndomain = " << layout.domain_of(number)
        << "\n[log]\nlevel = warning\n[operators]\nlisten = "
        << to_text(operators) << "\n[control]\nreplicas = " << join(replicas)
        << "\n";
    return out.str();
}

std::string entry_settings_text(const fleet_layout& layout, std::size_t n,
                                const std::string& id)
{
    std::vector<endpoint> others;
    for (std::size_t it = 0; it < layout.shape().entries; ++it)
    {
        if (it != n)
            others.push_back(layout.entry(it, peers_port));
    }
    std::ostringstream out;
    out << common(layout, id, n, layout.entry(n, operators_port))
        << "[callers]\nlisten = " << to_text(layout.entry(n, callers_port))
        << "\n[peers]\nlisten = " << to_text(layout.entry(n, peers_port))
        << "\n[ledger]\npeers = " << join(others) << "\n";
    return out.str();
}

std::string agent_settings_text(const fleet_layout& layout, std::size_t n,
                                const std::string& id)
{
    std::ostringstream out;
    out << common(layout, id, n, layout.agent(n, operators_port))
        << "[entries]\nlisten = " << to_text(layout.agent(n, links_port))
        << "\n[upstream]\nlisten = " << to_text(layout.agent(n, announce_port))
        << "\n";
    return out.str();
}

std::string control_settings_text(const fleet_layout& layout, std::size_t n,
                                  const std::string& id,
                                  const std::string& folder)
{
    std::ostringstream out;
    out << common(layout, id, n, layout.control(n, operators_port))
        << "[members]\nlisten = " << to_text(layout.control(n, members_port))
        << "\n[storage]\nfolder = " << folder << "/" << id
        << ".data\nbootstrap = true\n";
    return out.str();
}

std::string upstream_line(const fleet_layout& layout, std::size_t n,
                          const std::string& folder)
{
    const auto& shape = layout.shape();
    std::ostringstream out;
    out << "upstream-" << n << " lagoonquay-upstream --listen "
        << to_text(layout.agent(n, tasks_port)) << " --agent "
        << to_text(layout.agent(n, announce_port)) << " --slots " << shape.slots
        << " --processors " << shape.processors << " --memory-mb "
        << shape.memory_mb << " --record " << folder << "/upstream-" << n
        << ".starts\n";
    return out.str();
}

//! Gathers the files of a fleet and the lines of its processes.
class fleet_files
{
public:
    explicit fleet_files(std::string folder) : folder_(std::move(folder))
    {
    }

    void add(const std::string& role, std::size_t n, std::string text)
    {
        const auto id = role + "-" + std::to_string(n);
        lines_ += id + " lagoonquay-" + role + " --config " + folder_ + "/" +
                  id + ".ini\n";
        files_.push_back({id + ".ini", std::move(text)});
    }

    void add_line(const std::string& line)
    {
        lines_ += line;
    }

    std::vector<fleet_file> finish()
    {
        files_.push_back({"processes", lines_});
        return std::move(files_);
    }

private:
    std::string folder_;
    std::string lines_;
    std::vector<fleet_file> files_;
};

} // namespace

fleet_layout::fleet_layout(fleet_shape shape) : shape_(std::move(shape))
{
}

std::vector<endpoint> fleet_layout::entry_callers() const
{
    return collect(shape_.entries,
                   [&](std::size_t n) { return entry(n, callers_port); });
}

std::vector<endpoint> fleet_layout::entry_operators() const
{
    return collect(shape_.entries,
                   [&](std::size_t n) { return entry(n, operators_port); });
}

std::vector<endpoint> fleet_layout::agent_operators() const
{
    return collect(shape_.workers,
                   [&](std::size_t n) { return agent(n, operators_port); });
}

std::vector<endpoint> fleet_layout::control_operators() const
{
    return collect(shape_.controls,
                   [&](std::size_t n) { return control(n, operators_port); });
}

std::string fleet_layout::domain_of(std::size_t number) const
{
    return "domain-" + std::to_string(number % shape_.domains + 1);
}

std::uint64_t fleet_layout::slots_without(const std::string& domain) const
{
    std::uint64_t slots = 0;
    for (std::size_t n = 0; n < shape_.workers; ++n)
        slots += domain_of(n) == domain ? 0 : shape_.slots;
    return slots;
}

const fleet_shape& fleet_layout::shape() const noexcept
{
    return shape_;
}

endpoint fleet_layout::entry(std::size_t number, std::uint16_t port) const
{
    return {shape_.subnet + "." + std::to_string(first_entry + number), port};
}

endpoint fleet_layout::agent(std::size_t number, std::uint16_t port) const
{
    return {shape_.subnet + "." + std::to_string(first_agent + number), port};
}

endpoint fleet_layout::control(std::size_t number, std::uint16_t port) const
{
    return {shape_.subnet + "." + std::to_string(first_control + number), port};
}

std::vector<fleet_file> make_fleet_files(const fleet_layout& layout,
                                         const std::string& folder)
{
    fleet_files files(folder);
    const auto& shape = layout.shape();
    for (std::size_t n = 0; n < shape.controls; ++n)
    {
        const auto id = "control-" + std::to_string(n);
        files.add("control", n, control_settings_text(layout, n, id, folder));
    }
    for (std::size_t n = 0; n < shape.workers; ++n)
    {
        const auto id = "agent-" + std::to_string(n);
        files.add("agent", n, agent_settings_text(layout, n, id));
        files.add_line(upstream_line(layout, n, folder));
    }
    for (std::size_t n = 0; n < shape.entries; ++n)
    {
        const auto id = "entry-" + std::to_string(n);
        files.add("entry", n, entry_settings_text(layout, n, id));
    }
    return files.finish();
}

std::string make_fleet_settings(const fleet_shape& shape)
{
    std::ostringstream out;
    if (!shape.routing.empty() || shape.subset > 0)
        out << "[routing]\n";
    if (!shape.routing.empty())
        out << "policy = " << shape.routing << "\n";
    if (shape.subset > 0)
        out << "subset_agents = " << shape.subset << "\n";
    if (shape.weight > 0)
        out << "[customer:large]\nweight = " << shape.weight
            << "\nreason = the experiment gives it this part of the slots\n";
    return out.str();
}

} // namespace lagoonquay::load
