#include "full_disk.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lagoonquay
{

namespace
{

off_t size_of(int file)
{
    struct stat found
    {
    };
    ::fstat(file, &found);
    return found.st_size;
}

bool makes_longer(int file, std::size_t size)
{
    const auto length = size_of(file);
    const bool appends = (::fcntl(file, F_GETFL) & O_APPEND) != 0;
    const auto offset = appends ? length : ::lseek(file, 0, SEEK_CUR);
    return offset + static_cast<off_t>(size) > length;
}

} // namespace

void full_disk::fill(full_kind kind, std::size_t room)
{
    const std::lock_guard lock(mutex_);
    kind_ = kind;
    room_ = room;
}

disk_hooks full_disk::hooks()
{
    return {[this](int file, const char* data, std::size_t size)
            { return write(file, data, size); },
            [this](int)
            {
                const std::lock_guard lock(mutex_);
                if (kind_ != full_kind::sync)
                    return 0;
                errno = ENOSPC;
                return -1;
            }};
}

long full_disk::write(int file, const char* data, std::size_t size)
{
    const std::lock_guard lock(mutex_);
    if (refuses(file, size))
    {
        errno = ENOSPC;
        return -1;
    }
    if (kind_ != full_kind::part)
        return ::write(file, data, size);
    const auto taken = ::write(file, data, std::min(size, room_));
    room_ -= static_cast<std::size_t>(taken);
    return taken;
}

bool full_disk::refuses(int file, std::size_t size) const
{
    if (kind_ == full_kind::part)
        return room_ == 0;
    if (kind_ == full_kind::growth)
        return makes_longer(file, size);
    if (kind_ == full_kind::new_files)
        return size_of(file) == 0;
    return kind_ == full_kind::all_writes;
}

} // namespace lagoonquay
