#include "lagoonquay/load/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace lagoonquay::load
{

namespace
{

std::string folder_of(std::uint64_t id)
{
    return "/proc/" + std::to_string(id);
}

// The fields after the command's name, which may itself hold spaces.
duration processor_of(std::uint64_t id)
{
    constexpr int fields_before_times = 11;
    std::ifstream in(folder_of(id) + "/stat");
    std::string text;
    std::getline(in, text);
    const auto end = text.rfind(')');
    if (end == std::string::npos)
        return {};
    std::istringstream fields(text.substr(end + 1));
    std::string skipped;
    for (int n = 0; n < fields_before_times; ++n)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t kernel = 0;
    fields >> user >> kernel;
    return std::chrono::microseconds(std::chrono::seconds(user + kernel)) /
           sysconf(_SC_CLK_TCK);
}

std::uint64_t resident_of(std::uint64_t id)
{
    std::ifstream in(folder_of(id) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::vector<fleet_process> read_processes(const std::string& path)
{
    std::ifstream in(path);
    std::vector<fleet_process> found;
    fleet_process it;
    while (in >> it.name >> it.id)
        found.push_back(it);
    return found;
}

role_usage usage_of(const std::vector<fleet_process>& processes,
                    std::string_view role)
{
    role_usage usage;
    const auto prefix = std::string(role) + "-";
    for (const auto& it : processes)
    {
        if (!it.name.starts_with(prefix))
            continue;
        ++usage.processes;
        usage.processor += processor_of(it.id);
        usage.resident_bytes += resident_of(it.id);
    }
    return usage;
}

} // namespace lagoonquay::load
