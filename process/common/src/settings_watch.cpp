#include "lagoonquay/process/settings_watch.hpp"

#include "lagoonquay/process/log.hpp"

#include <fstream>
#include <iterator>
#include <optional>

namespace lagoonquay
{

namespace
{

constexpr std::string_view part = "settings";

std::optional<std::string> read_text(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

settings_watch::settings_watch(std::string path, std::function<void()> changed)
    : path_(std::move(path)), changed_(std::move(changed)),
      text_(read_text(path_).value_or(""))
{
}

void settings_watch::look()
{
    auto text = read_text(path_);
    if (!text)
        return write_log(log_level::warning, part, path_ + " is not readable.");
    {
        const std::lock_guard lock(mutex_);
        if (text_ == *text)
            return;
        text_ = *std::move(text);
    }
    changed_();
}

} // namespace lagoonquay
