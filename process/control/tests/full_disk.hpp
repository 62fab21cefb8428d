//! A real disk that is full for a while, in one of several ways.
#pragma once

#include "lagoonquay/process/durable_log.hpp"

#include <mutex>

namespace lagoonquay
{

enum class full_kind
{
    none,
    all_writes, //!< refuses every write
    part,       //!< takes a part of a write, then refuses every write
    growth,     //!< refuses what would make a file longer
    new_files,  //!< refuses what would fill an empty file
    sync,       //!< takes writes, fails every sync
};

//! Thread-safe. Syncs do not wait for the machine.
class full_disk
{
public:
    //! @param room  bytes that are still taken, for full_kind::part.
    void fill(full_kind kind, std::size_t room = 0);
    disk_hooks hooks();

private:
    long write(int file, const char* data, std::size_t size);
    bool refuses(int file, std::size_t size) const;

    std::mutex mutex_;
    full_kind kind_ = full_kind::none;
    std::size_t room_ = 0;
};

} // namespace lagoonquay
