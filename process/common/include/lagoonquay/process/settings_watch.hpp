//! Notices that a settings file has changed.
#pragma once

#include <functional>
#include <mutex>
#include <string>

namespace lagoonquay
{

//! Compares a file with what it held before. Thread-safe.
class settings_watch
{
public:
    //! @param changed  is called by look() when the file's text is another.
    settings_watch(std::string path, std::function<void()> changed);

    //! Reads the file. One that can't be read counts as unchanged.
    void look();

private:
    const std::string path_;
    const std::function<void()> changed_;
    std::mutex mutex_;
    std::string text_;
};

} // namespace lagoonquay
