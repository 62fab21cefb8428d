//! Files with checked, synced writes.
#pragma once

#include "lagoonquay/process/durable_log.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! Owns a file descriptor.
class disk_file
{
public:
    disk_file() = default;
    //! @param flags  of open(2).
    static process_result<disk_file> open(const std::string& path, int flags);

    disk_file(disk_file&& other) noexcept;
    disk_file& operator=(disk_file&& other) noexcept;
    disk_file(const disk_file&) = delete;
    disk_file& operator=(const disk_file&) = delete;
    ~disk_file();

    int descriptor() const noexcept;

    //! Appends all of `data`.
    process_result<void> append(const disk_hooks& disk, std::string_view data);
    process_result<void> sync(const disk_hooks& disk);
    //! Writes at the start, without a sync.
    process_result<void> overwrite(const disk_hooks& disk,
                                   std::string_view data);
    process_result<void> truncate(std::uint64_t size);

    //! @return whether this process now holds the lock of the file.
    bool lock() noexcept;

private:
    std::string path_;
    int descriptor_ = -1;
};

//! @return the content of a whole file.
process_result<std::string> read_file(const std::string& path);

//! Writes a file under another name, syncs it and renames it into place.
process_result<void> replace_file(const std::string& folder,
                                  const std::string& name,
                                  std::string_view content,
                                  const disk_hooks& disk);

//! Syncs a folder's entries.
process_result<void> sync_folder(const std::string& folder,
                                 const disk_hooks& disk);

} // namespace lagoonquay
