//! Checked reading of INI settings.
#pragma once

#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/error.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! One "key = value" of a section.
struct ini_entry
{
    std::string key;
    std::string value;

    friend bool operator==(const ini_entry&, const ini_entry&) = default;
};

//! An INI document. The first error sticks; later reads return defaults.
//! Every key that is not read by the time of finish() is an error.
//! Not thread-safe.
class ini_file
{
public:
    //! @param name  names the document in errors.
    static version_result<ini_file> parse(std::string_view text,
                                          std::string name);
    //! Reads a file. @return the document, or bad_setting.
    static version_result<ini_file> load(const std::string& path);

    //! @return what names the document: the path of a file.
    const std::string& name() const noexcept;

    bool has(std::string_view section, std::string_view key) const;
    std::string text(std::string_view section, std::string_view key);
    std::string text_or(std::string_view section, std::string_view key,
                        const std::string& fallback);
    std::uint64_t number_or(std::string_view section, std::string_view key,
                            std::uint64_t fallback, std::uint64_t least,
                            std::uint64_t most);
    //! Reads a duration with its unit: "250ms", "2s", "10min".
    duration duration_or(std::string_view section, std::string_view key,
                         duration fallback, duration least, duration most);
    bool flag_or(std::string_view section, std::string_view key, bool fallback);

    //! @return all entries of a section, and marks them as read.
    std::vector<ini_entry> entries(std::string_view section);
    //! @return the names of all sections.
    std::vector<std::string> sections() const;

    //! Records an error of one key unless there is one already.
    void reject(std::string_view section, std::string_view key,
                const std::string& detail);

    //! @return the first error, unknown sections and keys included.
    version_result<void> finish() const;

private:
    using section_map = std::map<std::string, std::string, std::less<>>;

    const std::string* find(std::string_view section, std::string_view key);

    std::string name_;
    std::map<std::string, section_map, std::less<>> sections_;
    std::set<std::string, std::less<>> read_;
    std::string error_;
};

} // namespace lagoonquay
