#include "lagoonquay/version/ini_file.hpp"

#include <array>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace lagoonquay
{

namespace
{

struct time_unit
{
    std::string_view name;
    duration length;
};

constexpr std::array<time_unit, 5> time_units{{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

//! A whole number with what follows it.
struct leading_number
{
    std::uint64_t number = 0;
    std::string_view rest;
    bool valid = false;
};

leading_number read_number(std::string_view text)
{
    leading_number read;
    const auto* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, read.number);
    read.valid = ec == std::errc() && last != text.data();
    read.rest = std::string_view(last, static_cast<std::size_t>(end - last));
    return read;
}

std::string read_mark(std::string_view section, std::string_view key)
{
    return std::string(section) + "\n" + std::string(key);
}

std::string in_ms(duration span)
{
    return std::to_string(span.count() / 1000) + "ms";
}

} // namespace

version_result<ini_file> ini_file::parse(std::string_view text,
                                         std::string name)
{
    boost::property_tree::ptree tree;
    std::istringstream in{std::string(text)};
    try
    {
        boost::property_tree::read_ini(in, tree);
    }
    catch (const boost::property_tree::ini_parser_error& e)
    {
        return fail(version_errc::bad_setting,
                    name + ":" + std::to_string(e.line()) + ": " + e.message());
    }
    ini_file file;
    file.name_ = std::move(name);
    for (const auto& [section, values] : tree)
    {
        if (values.empty() && !values.data().empty())
            return fail(version_errc::bad_setting, file.name_ + ": key '" +
                                                       section +
                                                       "' is in no section");
        for (const auto& [key, value] : values)
            file.sections_[section][key] = value.data();
    }
    return file;
}

version_result<ini_file> ini_file::load(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return fail(version_errc::bad_setting, path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), std::string(path));
}

const std::string& ini_file::name() const noexcept
{
    return name_;
}

bool ini_file::has(std::string_view section, std::string_view key) const
{
    const auto it = sections_.find(section);
    return it != sections_.end() && it->second.contains(key);
}

std::string ini_file::text(std::string_view section, std::string_view key)
{
    const auto* found = find(section, key);
    if (found != nullptr && !found->empty())
        return *found;
    reject(section, key, "is missing");
    return {};
}

std::string ini_file::text_or(std::string_view section, std::string_view key,
                              const std::string& fallback)
{
    const auto* found = find(section, key);
    return found == nullptr ? fallback : *found;
}

std::uint64_t ini_file::number_or(std::string_view section,
                                  std::string_view key, std::uint64_t fallback,
                                  std::uint64_t least, std::uint64_t most)
{
    const auto* found = find(section, key);
    if (found == nullptr)
        return fallback;
    const auto read = read_number(*found);
    if (!read.valid || !read.rest.empty())
    {
        reject(section, key, "'" + *found + "' is not a whole number");
        return fallback;
    }
    if (read.number < least || read.number > most)
    {
        reject(section, key,
               *found + " is not from " + std::to_string(least) + " to " +
                   std::to_string(most));
        return fallback;
    }
    return read.number;
}

duration ini_file::duration_or(std::string_view section, std::string_view key,
                               duration fallback, duration least, duration most)
{
    const auto* found = find(section, key);
    if (found == nullptr)
        return fallback;
    const auto read = read_number(*found);
    for (const auto& it : time_units)
    {
        if (!read.valid || read.rest != it.name)
            continue;
        const auto most_units = most / it.length;
        const auto span = it.length * static_cast<std::int64_t>(read.number);
        if (read.number <= static_cast<std::uint64_t>(most_units) &&
            span >= least)
            return span;
        reject(section, key,
               *found + " is not from " + in_ms(least) + " to " + in_ms(most));
        return fallback;
    }
    reject(section, key,
           "'" + *found + "' is not a number with us, ms, s, min or h");
    return fallback;
}

bool ini_file::flag_or(std::string_view section, std::string_view key,
                       bool fallback)
{
    const auto* found = find(section, key);
    if (found == nullptr)
        return fallback;
    if (*found == "true" || *found == "false")
        return *found == "true";
    reject(section, key, "'" + *found + "' is neither true nor false");
    return fallback;
}

std::vector<ini_entry> ini_file::entries(std::string_view section)
{
    std::vector<ini_entry> found;
    const auto it = sections_.find(section);
    if (it == sections_.end())
        return found;
    for (const auto& [key, value] : it->second)
    {
        read_.insert(read_mark(section, key));
        found.push_back({key, value});
    }
    return found;
}

std::vector<std::string> ini_file::sections() const
{
    std::vector<std::string> names;
    for (const auto& [section, values] : sections_)
        names.push_back(section);
    return names;
}

void ini_file::reject(std::string_view section, std::string_view key,
                      const std::string& detail)
{
    if (!error_.empty())
        return;
    error_ = name_ + ": [" + std::string(section) + "] " + std::string(key) +
             ": " + detail;
}

version_result<void> ini_file::finish() const
{
    if (!error_.empty())
        return fail(version_errc::bad_setting, error_);
    for (const auto& [section, values] : sections_)
    {
        for (const auto& [key, value] : values)
        {
            if (read_.contains(read_mark(section, key)))
                continue;
            std::string detail = name_;
            detail.append(": [").append(section).append("] ").append(key);
            detail.append(": unknown section or key");
            return fail(version_errc::bad_setting, std::move(detail));
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

const std::string* ini_file::find(std::string_view section,
                                  std::string_view key)
{
    const auto it = sections_.find(section);
    if (it == sections_.end())
        return nullptr;
    const auto found = it->second.find(key);
    if (found == it->second.end())
        return nullptr;
    read_.insert(read_mark(section, key));
    return &found->second;
}

} // namespace lagoonquay
