#include "messages.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace lagoonquay::review
{

namespace
{

const std::string root = REVIEW_SOURCE_DIR;

std::string read_file(const std::string& path)
{
    std::ifstream file(root + "/" + path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

std::string fill(std::string text, const values& filled)
{
    for (const auto& [name, value] : filled)
        text = replaced(std::move(text), "@" + name + "@", value);
    return text;
}

values pairs(const std::string& text)
{
    values found;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        const auto mark = line.find('=');
        if (mark != std::string::npos)
            found[line.substr(0, mark)] = line.substr(mark + 1);
    }
    return found;
}

} // namespace

std::string message(const std::string& heading, const values& filled)
{
    static const auto page = read_file("review/tests/messages.md");
    const std::string fence = "```\n";
    const auto at = page.find("\n## " + heading + "\n");
    if (at == std::string::npos)
        throw std::runtime_error("no message " + heading);
    const auto begin = page.find(fence, at) + fence.size();
    const auto end = page.find("\n" + fence, begin);
    return fill(page.substr(begin, end - begin), filled);
}

std::string word(const std::string& key)
{
    static const auto words = pairs(message("words"));
    return words.at(key);
}

std::string settings(const std::string& role, const values& filled)
{
    auto text = read_file("deploy/" + role + ".ini");
    for (const auto& [name, value] : pairs(message("settings", filled)))
        text = replaced(std::move(text), "{{" + name + "}}", value);
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("a placeholder of " + role + " has no value");
    return text;
}

} // namespace lagoonquay::review
