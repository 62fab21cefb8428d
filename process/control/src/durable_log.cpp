#include "lagoonquay/process/durable_log.hpp"

#include "disk_file.hpp"
#include "lagoonquay/version/replica_codec.hpp"
#include "record_file.hpp"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <filesystem>

namespace fs = std::filesystem;

namespace lagoonquay
{

namespace
{

constexpr const char* mark_name = "mark";
constexpr const char* synced_name = "synced";
constexpr const char* lock_name = "lock";

auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string log_name(std::uint64_t generation)
{
    return "log-" + std::to_string(generation);
}

std::string snapshot_name(std::uint64_t generation)
{
    return "snapshot-" + std::to_string(generation);
}

//! Puts one record into the state read so far.
struct record_reader
{
    node_id& node;
    log_index& base;
    stored_log& into;

    void operator()(const log_header& it) const
    {
        node = it.node;
        base = it.base;
    }
    void operator()(const hard_state& it) const
    {
        into.state = it;
    }
    void operator()(const log_entry& it) const
    {
        auto& entries = into.entries;
        while (!entries.empty() && entries.back().index >= it.index)
            entries.pop_back();
        entries.push_back(it);
    }
};

process_result<void> make_folder(const std::string& folder)
{
    std::error_code ec;
    fs::create_directories(folder, ec);
    if (ec)
        return fail(process_errc::storage, folder + ": " + ec.message());
    return success();
}

//! @return the highest generation that a file of the folder belongs to; zero
//! without such a file.
std::uint64_t highest_generation(const std::string& folder)
{
    std::uint64_t highest = 0;
    for (const auto& it : fs::directory_iterator(folder))
    {
        const auto name = it.path().filename().string();
        if (!name.starts_with("log-") && !name.starts_with("snapshot-"))
            continue;
        const char* end = name.data() + name.size();
        std::uint64_t n = 0;
        std::from_chars(name.data() + name.find('-') + 1, end, n);
        highest = std::max(highest, n);
    }
    return highest;
}

} // namespace

// One generation is a snapshot (unless it starts from nothing) and the log
// after it. The mark names the generation in use; replacing it is the one
// step that switches to the next. How much of the log was synced since is in a
// file of its own, which is overwritten in place and may be torn by a loss of
// power.
struct durable_log::files
{
    std::string folder;
    disk_hooks disk;
    disk_file lock;
    disk_file log;
    disk_file synced_file;
    log_mark mark;
    bool is_synced_file_torn = false;
    node_id node;
    stored_log stored;
    hard_state last_state;
    std::size_t cut_bytes = 0;
    std::string discarded; //!< why an earlier log was given up
    bool failed = false;

    std::string path(const std::string& name) const
    {
        return folder + "/" + name;
    }

    process_result<void> open(const std::function<node_id()>& draw_node);
    process_result<void> discard(const std::function<node_id()>& draw_node,
                                 const std::string& why);
    process_result<void> read_mark();
    process_result<void> read();
    process_result<void> open_synced_file();
    process_result<void> read_snapshot(log_index base);
    process_result<void> read_log(log_index& base);
    process_result<void> write(const std::vector<log_write>& writes);
    process_result<void> append(const std::string& records);
    process_result<void> recover();
    process_result<void> cut_unsynced();
    process_result<void> start_generation(const log_write& from);
    void remove_other_generations() const;
    std::string records_of(const log_write& write);
};

process_result<void>
durable_log::files::open(const std::function<node_id()>& draw_node)
{
    BOOST_OUTCOME_TRY(make_folder(folder));
    BOOST_OUTCOME_TRY(auto held,
                      disk_file::open(path(lock_name), O_RDWR | O_CREAT));
    lock = std::move(held);
    if (!lock.lock())
        return fail(process_errc::storage,
                    folder + ": in use by another process");
    if (!fs::exists(path(mark_name)))
    {
        if (highest_generation(folder) > 0)
            return fail(process_errc::storage,
                        path(mark_name) + ": missing beside a log");
        node = draw_node();
        return start_generation({});
    }
    if (const auto marked = read_mark(); !marked)
        return discard(draw_node, marked.error().detail);
    auto found = read();
    if (!found && is_synced_file_torn && cut_bytes > 0)
        return discard(draw_node, found.error().detail);
    return found;
}

// A replica that can't tell what it had acknowledged must not vote on it. It
// begins as one whose disk was lost: under a new name, as a learner.
process_result<void>
durable_log::files::discard(const std::function<node_id()>& draw_node,
                            const std::string& why)
{
    discarded = why;
    stored = {};
    cut_bytes = 0;
    node = draw_node();
    mark.generation = highest_generation(folder);
    return start_generation({});
}

// Either file may be behind what is synced, never ahead of it. Earlier versions
// overwrote the mark itself, so it may be torn as well.
process_result<void> durable_log::files::read_mark()
{
    BOOST_OUTCOME_TRY(const auto content, read_file(path(mark_name)));
    const auto replaced = decode_mark(content, path(mark_name));
    std::string overwritten;
    if (fs::exists(path(synced_name)))
    {
        BOOST_OUTCOME_TRY(overwritten, read_file(path(synced_name)));
    }
    const auto later = decode_mark(overwritten, path(synced_name));
    is_synced_file_torn = !later && !overwritten.empty();
    if (!replaced && !later)
        return replaced.error();
    mark = replaced ? replaced.value() : later.value();
    if (later && later.value().generation == mark.generation)
        mark.synced = std::max(mark.synced, later.value().synced);
    return success();
}

process_result<void> durable_log::files::read()
{
    log_index base;
    BOOST_OUTCOME_TRY(read_log(base));
    if (base != log_index())
    {
        BOOST_OUTCOME_TRY(read_snapshot(base));
    }
    last_state = stored.state;
    BOOST_OUTCOME_TRY(open_synced_file());
    remove_other_generations();
    return success();
}

process_result<void> durable_log::files::open_synced_file()
{
    BOOST_OUTCOME_TRY(auto opened,
                      disk_file::open(path(synced_name), O_WRONLY | O_CREAT));
    synced_file = std::move(opened);
    return success();
}

// Records beyond the mark may be readable and not on the disk: a process that
// was killed while it synced them leaves them so.
process_result<void> durable_log::files::read_log(log_index& base)
{
    const auto name = path(log_name(mark.generation));
    BOOST_OUTCOME_TRY(const auto content, read_file(name));
    BOOST_OUTCOME_TRY(const auto found,
                      split_records(content, mark.synced, name));
    for (std::size_t n = 0; n < found.payloads.size(); ++n)
    {
        const auto record = decode_record(found.payloads[n]);
        if (!record)
            return fail(process_errc::storage,
                        name + ": unreadable record at offset " +
                            std::to_string(found.offsets[n]) + ": " +
                            record.error().detail);
        std::visit(record_reader{node, base, stored}, record.value());
    }
    BOOST_OUTCOME_TRY(auto opened, disk_file::open(name, O_WRONLY | O_APPEND));
    log = std::move(opened);
    cut_bytes = content.size() - found.end;
    if (is_synced_file_torn && cut_bytes > 0)
        return fail(process_errc::storage,
                    name + ": unreadable record at offset " +
                        std::to_string(found.end) +
                        ", which may have been synced");
    const bool all_synced = content.size() == mark.synced;
    mark.synced = found.end;
    if (all_synced)
        return success();
    BOOST_OUTCOME_TRY(log.truncate(found.end));
    return log.sync(disk);
}

process_result<void> durable_log::files::read_snapshot(log_index base)
{
    const auto name = path(snapshot_name(mark.generation));
    BOOST_OUTCOME_TRY(const auto content, read_file(name));
    BOOST_OUTCOME_TRY(const auto found,
                      split_records(content, content.size(), name));
    if (found.payloads.size() != 1)
        return fail(process_errc::storage,
                    name + ": corrupt record at offset 0");
    auto decoded = decode_snapshot(found.payloads.front());
    if (!decoded || decoded.value().index != base)
        return fail(process_errc::storage,
                    name + ": unreadable record at offset 0");
    stored.base =
        std::make_shared<const log_snapshot>(std::move(decoded).value());
    return success();
}

std::string durable_log::files::records_of(const log_write& write)
{
    std::string records;
    if (write.state != last_state)
        records += frame_record(encode_record(write.state));
    last_state = write.state;
    for (const auto& it : write.entries)
        records += frame_record(encode_record(it));
    return records;
}

// A write that installs a snapshot carries all entries after it, so what was
// gathered before it need not be written.
process_result<void>
durable_log::files::write(const std::vector<log_write>& writes)
{
    std::string records;
    for (const auto& it : writes)
    {
        if (!it.install)
        {
            records += records_of(it);
            continue;
        }
        records.clear();
        BOOST_OUTCOME_TRY(start_generation(it));
    }
    if (records.empty())
        return success();
    return append(records);
}

// What was synced is noted after the sync and without one: the note may be
// behind, never ahead.
process_result<void> durable_log::files::append(const std::string& records)
{
    BOOST_OUTCOME_TRY(log.append(disk, records));
    BOOST_OUTCOME_TRY(log.sync(disk));
    mark.synced += records.size();
    return synced_file.overwrite(disk, encode_mark(mark));
}

// A failed write may have moved to the next generation or not; once the folder
// is synced, what it shows is what lasts. The note of what was synced may have
// been written in part and is written anew.
process_result<void> durable_log::files::recover()
{
    BOOST_OUTCOME_TRY(synced_file.overwrite(disk, encode_mark(mark)));
    BOOST_OUTCOME_TRY(sync_folder(folder, disk));
    BOOST_OUTCOME_TRY(const auto content, read_file(path(mark_name)));
    BOOST_OUTCOME_TRY(const auto found, decode_mark(content, path(mark_name)));
    if (found.generation == mark.generation)
    {
        BOOST_OUTCOME_TRY(cut_unsynced());
    }
    stored = {};
    BOOST_OUTCOME_TRY(read_mark());
    BOOST_OUTCOME_TRY(read());
    return synced_file.overwrite(disk, encode_mark(mark));
}

// After a failed sync the records beyond may be readable and yet not be on the
// disk.
process_result<void> durable_log::files::cut_unsynced()
{
    BOOST_OUTCOME_TRY(log.truncate(mark.synced));
    return log.sync(disk);
}

process_result<void> durable_log::files::start_generation(const log_write& from)
{
    const auto next = mark.generation + 1;
    log_header header{node, {}};
    if (from.install)
    {
        header.base = from.install->index;
        BOOST_OUTCOME_TRY(
            replace_file(folder, snapshot_name(next),
                         frame_record(encode_snapshot(*from.install)), disk));
    }
    auto records = frame_record(encode_record(header));
    records += frame_record(encode_record(from.state));
    for (const auto& it : from.entries)
        records += frame_record(encode_record(it));
    BOOST_OUTCOME_TRY(replace_file(folder, log_name(next), records, disk));
    const log_mark moved{next, records.size()};
    BOOST_OUTCOME_TRY(
        replace_file(folder, mark_name, encode_mark(moved), disk));
    BOOST_OUTCOME_TRY(auto opened, disk_file::open(path(log_name(next)),
                                                   O_WRONLY | O_APPEND));
    log = std::move(opened);
    BOOST_OUTCOME_TRY(open_synced_file());
    mark = moved;
    last_state = from.state;
    remove_other_generations();
    return success();
}

void durable_log::files::remove_other_generations() const
{
    std::error_code ec;
    for (const auto& it : fs::directory_iterator(folder, ec))
    {
        const auto name = it.path().filename().string();
        const bool ours = name == log_name(mark.generation) ||
                          name == snapshot_name(mark.generation);
        const bool other = name.starts_with("log-") ||
                           name.starts_with("snapshot-") ||
                           name.ends_with(".partial");
        if (!ours && other)
            fs::remove(it.path(), ec);
    }
}

process_result<durable_log>
durable_log::open(const std::string& folder,
                  const std::function<node_id()>& draw_node, disk_hooks disk)
{
    auto opened = std::make_unique<files>();
    opened->folder = folder;
    opened->disk = std::move(disk);
    BOOST_OUTCOME_TRY(opened->open(draw_node));
    return durable_log(std::move(opened));
}

durable_log::durable_log(std::unique_ptr<files> opened) noexcept
    : files_(std::move(opened))
{
}

durable_log::durable_log(durable_log&&) noexcept = default;
durable_log& durable_log::operator=(durable_log&&) noexcept = default;
durable_log::~durable_log() = default;

const node_id& durable_log::node() const noexcept
{
    return files_->node;
}

const stored_log& durable_log::stored() const noexcept
{
    return files_->stored;
}

std::size_t durable_log::cut_bytes() const noexcept
{
    return files_->cut_bytes;
}

const std::string& durable_log::discarded() const noexcept
{
    return files_->discarded;
}

// After a failed sync nobody knows what the disk holds, so nothing later may
// be acknowledged either.
process_result<void> durable_log::write(const std::vector<log_write>& writes)
{
    if (files_->failed)
        return fail(process_errc::storage,
                    files_->folder + ": an earlier write failed");
    auto written = files_->write(writes);
    files_->failed = !written;
    return written;
}

process_result<stored_log> durable_log::recover()
{
    BOOST_OUTCOME_TRY(files_->recover());
    files_->failed = false;
    return files_->stored;
}

} // namespace lagoonquay
