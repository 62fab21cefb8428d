#include "lagoonquay/process/request_story.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <istream>
#include <set>
#include <sstream>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::int64_t before_ms = 2000; // of other lines of its processes

std::string text_of(const json::object& line, std::string_view name)
{
    const auto* found = line.if_contains(name);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string(found->as_string());
}

bool in_every_line(std::string_view name)
{
    constexpr std::string_view common[] = {
        "time_ms", "level", "process", "part", "submission", "event", "text"};
    return std::find(std::begin(common), std::end(common), name) !=
           std::end(common);
}

std::string describe(const json::object& line)
{
    auto text = text_of(line, "event") + text_of(line, "text");
    for (const auto& it : line)
    {
        if (in_every_line(it.key()))
            continue;
        text.append(" ").append(it.key()).append("=");
        text.append(json::serialize(it.value()));
    }
    return text;
}

bool earlier(const story_line& left, const story_line& right)
{
    return left.time_ms < right.time_ms;
}

} // namespace

request_story::request_story(submission_id submission)
    : submission_(std::move(submission))
{
}

void request_story::read(std::istream& log)
{
    for (std::string line; std::getline(log, line);)
        read_line(line);
}

void request_story::read_line(const std::string& line)
{
    const auto brace = line.find('{');
    if (brace == std::string::npos)
        return;
    const bool names_it = line.find(submission_.text()) != std::string::npos;
    if (!names_it && line.find("\"submission\"") != std::string::npos)
        return;
    boost::system::error_code ec;
    const auto parsed = json::parse(line.substr(brace), ec);
    if (ec || !parsed.is_object())
        return;
    const auto& members = parsed.as_object();
    const auto* time = members.if_contains("time_ms");
    if (time == nullptr || !time->is_int64())
        return;
    const auto submission = text_of(members, "submission");
    const bool own = submission == submission_.text();
    if (!own && !submission.empty())
        return;
    auto& target = own ? own_ : others_;
    target.push_back({time->as_int64(), text_of(members, "process"),
                      text_of(members, "part"), describe(members), !own});
}

std::vector<story_line> request_story::tell() const
{
    auto story = own_;
    if (story.empty())
        return story;
    std::stable_sort(story.begin(), story.end(), earlier);
    const auto first = story.front().time_ms - before_ms;
    const auto last = story.back().time_ms;
    std::set<std::string> processes;
    for (const auto& it : story)
        processes.insert(it.process);
    for (const auto& it : others_)
    {
        if (it.time_ms >= first && it.time_ms <= last &&
            processes.contains(it.process))
            story.push_back(it);
    }
    std::stable_sort(story.begin(), story.end(), earlier);
    return story;
}

std::string story_text(const std::vector<story_line>& story)
{
    const auto first =
        std::find_if(story.begin(), story.end(),
                     [](const story_line& it) { return !it.around; });
    const auto began = first == story.end() ? 0 : first->time_ms;
    std::ostringstream out;
    for (const auto& it : story)
    {
        const auto since = it.time_ms - began;
        out << (since < 0 ? "" : "+") << since << " ms  " << it.process << "  "
            << (it.around ? "(" + it.part + ") " : it.part + " ") << it.what
            << "\n";
    }
    return out.str();
}

std::string story_json(const std::vector<story_line>& story)
{
    json::array lines;
    for (const auto& it : story)
        lines.push_back(json::object{{"time_ms", it.time_ms},
                                     {"process", it.process},
                                     {"part", it.part},
                                     {"what", it.what},
                                     {"around", it.around}});
    return json::serialize(lines) + "\n";
}

} // namespace lagoonquay
