#include "scenario.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <sstream>

namespace lagoonquay
{

std::vector<scenario_line> parse_scenario(std::string_view text)
{
    std::vector<scenario_line> lines;
    std::istringstream in{std::string(text)};
    std::string raw;
    std::size_t number = 0;
    while (std::getline(in, raw))
    {
        ++number;
        auto content = raw.substr(0, raw.find('#'));
        boost::algorithm::trim(content);
        if (content.empty())
            continue;
        scenario_line line;
        line.number = number;
        boost::algorithm::split(line.words, content, boost::is_space(),
                                boost::token_compress_on);
        line.command = line.words.front();
        line.words.erase(line.words.begin());
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string named_word(const scenario_line& line, std::string_view key,
                       const std::string& fallback)
{
    const auto prefix = std::string(key) + "=";
    for (const auto& it : line.words)
    {
        if (it.starts_with(prefix))
            return it.substr(prefix.size());
    }
    return fallback;
}

duration read_duration(const std::string& text)
{
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (std::string_view(read.ptr) == "s")
        return std::chrono::seconds(number);
    return std::chrono::milliseconds(number);
}

} // namespace lagoonquay
