//! The replicated log on disk: checksummed, synced, compacted.
#pragma once

#include "lagoonquay/process/error.hpp"
#include "lagoonquay/version/replica.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Calls of the operating system that tests replace. Each returns as the call
//! does: negative on failure, with errno set.
struct disk_hooks
{
    std::function<long(int file, const char* data, std::size_t size)> write;
    std::function<int(int file)> sync;
};

//! @return the calls of this machine.
disk_hooks real_disk();

//! The files of one replica. Not thread-safe.
class durable_log
{
public:
    //! Opens a data folder and reads it whole; creates it if it is missing. A
    //! log of which it can't be told how much was synced is given up.
    //! @param draw_node  names a folder that is empty.
    //! @return the log, or storage: the folder is in use, not writable, or a
    //!         file is corrupt (the error names file and offset).
    static process_result<durable_log>
    open(const std::string& folder, const std::function<node_id()>& draw_node,
         disk_hooks disk);

    durable_log(durable_log&&) noexcept;
    durable_log& operator=(durable_log&&) noexcept;
    durable_log(const durable_log&) = delete;
    durable_log& operator=(const durable_log&) = delete;
    ~durable_log();

    const node_id& node() const noexcept;
    const stored_log& stored() const noexcept; //!< as it was opened
    std::size_t cut_bytes() const noexcept;    //!< of a torn tail
    //! @return why an earlier log was given up, so that the folder begins anew
    //! under a new name; empty if none was.
    const std::string& discarded() const noexcept;

    //! Writes in order and returns once all is synced. After a failure the
    //! log takes no more writes until recover().
    process_result<void> write(const std::vector<log_write>& writes);

    //! Goes back to what was last synced, after a failed write.
    //! @return what is stored, or storage: the disk still takes no writes, or
    //!         a file is corrupt.
    process_result<stored_log> recover();

private:
    struct files;
    explicit durable_log(std::unique_ptr<files> opened) noexcept;
    std::unique_ptr<files> files_;
};

} // namespace lagoonquay
