#include "disk_file.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace lagoonquay
{

namespace
{

constexpr mode_t owner_only = 0600;

auto failed(const std::string& path, const char* call)
{
    const std::string reason = std::strerror(errno);
    return fail(process_errc::storage, path + ": " + call + ": " + reason);
}

auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

disk_hooks real_disk()
{
    return {[](int file, const char* data, std::size_t size) -> long
            { return ::write(file, data, size); },
            [](int file)
            {
                return ::fdatasync(file);
            }};
}

process_result<disk_file> disk_file::open(const std::string& path, int flags)
{
    disk_file opened;
    opened.path_ = path;
    opened.descriptor_ = ::open(path.c_str(), flags | O_CLOEXEC, owner_only);
    if (opened.descriptor_ < 0)
        return failed(path, "open");
    return opened;
}

disk_file::disk_file(disk_file&& other) noexcept
    : path_(std::move(other.path_)),
      descriptor_(std::exchange(other.descriptor_, -1))
{
}

disk_file& disk_file::operator=(disk_file&& other) noexcept
{
    std::swap(path_, other.path_);
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

disk_file::~disk_file()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

int disk_file::descriptor() const noexcept
{
    return descriptor_;
}

process_result<void> disk_file::append(const disk_hooks& disk,
                                       std::string_view data)
{
    while (!data.empty())
    {
        const auto n = disk.write(descriptor_, data.data(), data.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return failed(path_, "write");
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return success();
}

process_result<void> disk_file::sync(const disk_hooks& disk)
{
    if (disk.sync(descriptor_) != 0)
        return failed(path_, "sync");
    return success();
}

process_result<void> disk_file::overwrite(const disk_hooks& disk,
                                          std::string_view data)
{
    if (::lseek(descriptor_, 0, SEEK_SET) != 0)
        return failed(path_, "seek");
    return append(disk, data);
}

process_result<void> disk_file::truncate(std::uint64_t size)
{
    if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0)
        return failed(path_, "truncate");
    return success();
}

bool disk_file::lock() noexcept
{
    return ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0;
}

process_result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    content << in.rdbuf();
    if (!in)
        return failed(path, "read");
    return std::move(content).str();
}

process_result<void> sync_folder(const std::string& folder,
                                 const disk_hooks& disk)
{
    BOOST_OUTCOME_TRY(auto entries,
                      disk_file::open(folder, O_RDONLY | O_DIRECTORY));
    return entries.sync(disk);
}

process_result<void> replace_file(const std::string& folder,
                                  const std::string& name,
                                  std::string_view content,
                                  const disk_hooks& disk)
{
    const auto path = folder + "/" + name;
    const auto partial = path + ".partial";
    BOOST_OUTCOME_TRY(auto file,
                      disk_file::open(partial, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_OUTCOME_TRY(file.append(disk, content));
    BOOST_OUTCOME_TRY(file.sync(disk));
    std::error_code ec;
    std::filesystem::rename(partial, path, ec);
    if (ec)
        return fail(process_errc::storage, path + ": " + ec.message());
    return sync_folder(folder, disk);
}

} // namespace lagoonquay
