#include "lagoonquay/process/durable_log.hpp"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace fs = std::filesystem;

namespace lagoonquay
{

namespace
{

//! Disk that counts syncs and fails on demand.
struct fake_disk
{
    disk_hooks hooks()
    {
        auto real = real_disk();
        return {[this, real](int file, const char* data, std::size_t size)
                {
                    if (room && *room < size)
                    {
                        real.write(file, data, *room);
                        *room = 0;
                        errno = ENOSPC;
                        return -1L;
                    }
                    if (room)
                        *room -= size;
                    return real.write(file, data, size);
                },
                [this, real](int file)
                {
                    ++syncs;
                    if (!sync_fails)
                        return real.sync(file);
                    errno = EIO;
                    return -1;
                }};
    }

    std::optional<std::size_t> room; //!< bytes left on the disk
    bool sync_fails = false;
    int syncs = 0;
};

class durable_log_test : public testing::Test
{
protected:
    durable_log_test()
        : folder_(fs::temp_directory_path() /
                  ("lagoonquay-log-" + std::to_string(::getpid())))
    {
        fs::remove_all(folder_);
    }
    ~durable_log_test() override
    {
        fs::remove_all(folder_);
    }

    process_result<durable_log> open()
    {
        return durable_log::open(
            folder_.string(),
            [this] { return node_id("a-" + std::to_string(++draws_)); },
            disk_.hooks());
    }

    //! Closes a log and reads its folder.
    process_result<durable_log> open_again(process_result<durable_log> opened)
    {
        {
            const auto closed = std::move(opened).value();
        }
        return open();
    }

    static log_write write_of(std::uint64_t first, std::uint64_t last,
                              std::uint64_t term = 1)
    {
        log_write write{.sequence = last};
        write.state = {cluster_number(9), term_number(term), node_id("b-1")};
        for (auto n = first; n <= last; ++n)
        {
            log_entry entry{log_index(n), term_number(term), no_operation{}};
            entry.content =
                command({.id = command_id(std::to_string(n)),
                         .author = "ann",
                         .expected = std::nullopt,
                         .what = set_settings{std::string(50, 'x')}});
            write.entries.push_back(entry);
        }
        return write;
    }

    fs::path log_file() const
    {
        for (const auto& it : fs::directory_iterator(folder_))
        {
            if (it.path().filename().string().starts_with("log-"))
                return it.path();
        }
        return {};
    }

    // Writes entries 1 to 10 in two writes. @return the size after the first.
    std::uintmax_t fill()
    {
        auto log = open();
        EXPECT_TRUE(log.value().write({write_of(1, 5)}));
        const auto size = fs::file_size(log_file());
        EXPECT_TRUE(log.value().write({write_of(6, 10)}));
        return size;
    }

    void flip_byte(std::uintmax_t offset)
    {
        std::fstream file(log_file(),
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(static_cast<std::streamoff>(offset));
        const auto old = static_cast<char>(file.get());
        file.seekp(static_cast<std::streamoff>(offset));
        file.put(static_cast<char>(old ^ 1));
    }

    void tear(const std::string& name, std::streamoff offset)
    {
        std::fstream file(folder_ / name,
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(offset);
        file.put('\x7f');
    }

    void append_bytes(const std::string& bytes)
    {
        std::ofstream file(log_file(), std::ios::app | std::ios::binary);
        file << bytes;
    }

    fs::path folder_;
    fake_disk disk_;
    int draws_ = 0;
};

TEST_F(durable_log_test, returns_what_was_written)
{
    fill();
    const auto log = open();
    ASSERT_TRUE(log);
    EXPECT_EQ(log.value().node(), node_id("a-1"));
    EXPECT_EQ(log.value().stored().state, write_of(1, 1).state);
    EXPECT_EQ(log.value().stored().entries, write_of(1, 10).entries);
}

TEST_F(durable_log_test, syncs_each_batch_once)
{
    auto log = open();
    const auto before = disk_.syncs;
    EXPECT_TRUE(log.value().write({write_of(1, 5), write_of(6, 9)}));
    EXPECT_EQ(disk_.syncs, before + 1);
}

TEST_F(durable_log_test, a_later_write_replaces_entries)
{
    fill();
    {
        auto log = open();
        EXPECT_TRUE(log.value().write({write_of(8, 8, 2)}));
    }
    const auto log = open();
    const auto& entries = log.value().stored().entries;
    ASSERT_EQ(entries.size(), 8);
    EXPECT_EQ(entries.back().term, term_number(2));
}

TEST_F(durable_log_test, cuts_a_torn_tail)
{
    fill();
    const auto whole = fs::file_size(log_file());
    append_bytes(std::string("\x20\0\0\0torn", 8));
    {
        const auto log = open();
        ASSERT_TRUE(log);
        EXPECT_EQ(log.value().cut_bytes(), 8);
        EXPECT_EQ(log.value().stored().entries.size(), 10);
    }
    EXPECT_EQ(fs::file_size(log_file()), whole);
}

TEST_F(durable_log_test, refuses_a_corrupt_middle_with_file_and_offset)
{
    const auto offset = fill();
    for (const std::uintmax_t at : {offset + 1, offset + 40})
    {
        flip_byte(at);
        const auto log = open();
        ASSERT_FALSE(log);
        EXPECT_EQ(log.error().detail, log_file().string() +
                                          ": corrupt record at offset " +
                                          std::to_string(offset));
        flip_byte(at);
    }
    EXPECT_TRUE(open());
}

TEST_F(durable_log_test, refuses_a_log_that_lost_synced_records)
{
    const auto offset = fill();
    fs::resize_file(log_file(), offset);
    const auto log = open();
    ASSERT_FALSE(log);
    EXPECT_NE(log.error().detail.find("cut short"), std::string::npos);
}

TEST_F(durable_log_test, refuses_a_folder_without_its_mark)
{
    fill();
    fs::remove(folder_ / "mark");
    EXPECT_FALSE(open());
}

// The mark is overwritten without a sync: a loss of power may tear it.
TEST_F(durable_log_test, starts_after_a_loss_of_power_tore_its_mark)
{
    constexpr std::streamoff synced_at = 8;
    fill();
    {
        std::fstream mark(folder_ / "mark",
                          std::ios::in | std::ios::out | std::ios::binary);
        mark.seekp(synced_at);
        mark.put('\x7f');
    }
    const auto log = open();
    ASSERT_TRUE(log) << log.error().detail;
}

TEST_F(durable_log_test, keeps_its_log_if_the_note_of_what_was_synced_is_torn)
{
    constexpr std::streamoff note_bytes = 20;
    for (std::streamoff at = 0; at < note_bytes; ++at)
    {
        fs::remove_all(folder_);
        draws_ = 0;
        fill();
        tear("synced", at);
        const auto log = open();
        ASSERT_TRUE(log) << log.error().detail;
        EXPECT_EQ(log.value().node(), node_id("a-1"));
        EXPECT_EQ(log.value().stored().entries, write_of(1, 10).entries);
        EXPECT_TRUE(log.value().discarded().empty());
    }
}

// What follows the last sound record may have been acknowledged.
TEST_F(durable_log_test, begins_anew_if_it_cannot_tell_what_was_synced)
{
    fill();
    fs::resize_file(log_file(), fs::file_size(log_file()) - 1);
    tear("synced", 8);
    {
        const auto log = open();
        ASSERT_TRUE(log) << log.error().detail;
        EXPECT_EQ(log.value().node(), node_id("a-2"));
        EXPECT_TRUE(log.value().stored().entries.empty());
        EXPECT_FALSE(log.value().discarded().empty());
    }
    const auto again = open();
    EXPECT_EQ(again.value().node(), node_id("a-2"));
    EXPECT_TRUE(again.value().discarded().empty());
}

TEST_F(durable_log_test, begins_anew_if_no_file_names_its_generation)
{
    fill();
    tear("mark", 0);
    tear("synced", 0);
    auto log = open();
    ASSERT_TRUE(log) << log.error().detail;
    EXPECT_EQ(log.value().node(), node_id("a-2"));
    EXPECT_TRUE(log.value().stored().entries.empty());
    EXPECT_TRUE(log.value().write({write_of(1, 3)}));
    log = open_again(std::move(log));
    EXPECT_EQ(log.value().node(), node_id("a-2"));
    EXPECT_EQ(log.value().stored().entries, write_of(1, 3).entries);
}

// Earlier versions kept the note of what was synced in the mark.
TEST_F(durable_log_test, opens_a_folder_without_a_note_of_what_was_synced)
{
    fill();
    fs::rename(folder_ / "synced", folder_ / "mark");
    const auto log = open();
    ASSERT_TRUE(log) << log.error().detail;
    EXPECT_EQ(log.value().node(), node_id("a-1"));
    EXPECT_EQ(log.value().stored().entries, write_of(1, 10).entries);
}

TEST_F(durable_log_test, a_wiped_folder_draws_a_new_node)
{
    fill();
    fs::remove_all(folder_);
    const auto log = open();
    EXPECT_EQ(log.value().node(), node_id("a-2"));
    EXPECT_TRUE(log.value().stored().entries.empty());
}

TEST_F(durable_log_test, reports_a_full_disk_and_takes_no_more)
{
    {
        auto log = open();
        EXPECT_TRUE(log.value().write({write_of(1, 5)}));
        disk_.room = 100;
        const auto full = log.value().write({write_of(6, 10)});
        ASSERT_FALSE(full);
        EXPECT_NE(full.error().detail.find("No space"), std::string::npos);
        disk_.room.reset();
        EXPECT_FALSE(log.value().write({write_of(6, 10)}));
    }
    EXPECT_EQ(open().value().stored().entries.size(), 5);
}

TEST_F(durable_log_test, goes_on_from_what_was_synced_once_there_is_room)
{
    auto opened = open();
    auto& log = opened.value();
    EXPECT_TRUE(log.write({write_of(1, 5)}));
    disk_.room = 100;
    EXPECT_FALSE(log.write({write_of(6, 10)}));
    disk_.room.reset();
    const auto found = log.recover();
    ASSERT_TRUE(found);
    EXPECT_EQ(found.value().entries, write_of(1, 5).entries);
    EXPECT_TRUE(log.write({write_of(6, 8)}));
    opened = open_again(std::move(opened));
    EXPECT_EQ(opened.value().stored().entries, write_of(1, 8).entries);
}

// What a failed sync left can be read, but may not be on the disk.
TEST_F(durable_log_test, does_not_go_on_from_records_whose_sync_failed)
{
    auto opened = open();
    auto& log = opened.value();
    EXPECT_TRUE(log.write({write_of(1, 5)}));
    disk_.sync_fails = true;
    EXPECT_FALSE(log.write({write_of(6, 10)}));
    EXPECT_FALSE(log.recover());
    disk_.sync_fails = false;
    const auto found = log.recover();
    ASSERT_TRUE(found);
    EXPECT_EQ(found.value().entries, write_of(1, 5).entries);
}

// A process that was killed during a sync leaves records that can be read, and
// that a loss of power takes away.
TEST_F(durable_log_test, counts_no_record_as_stored_that_was_never_synced)
{
    {
        auto log = open();
        EXPECT_TRUE(log.value().write({write_of(1, 5)}));
        disk_.sync_fails = true;
        EXPECT_FALSE(log.value().write({write_of(6, 10)}));
    }
    EXPECT_FALSE(open());
    disk_.sync_fails = false;
    const auto before = disk_.syncs;
    EXPECT_EQ(open().value().stored().entries.size(), 10);
    EXPECT_EQ(disk_.syncs, before + 1);
}

// The disk fills up at every byte of a record and of the mark after it.
TEST_F(durable_log_test, goes_on_after_a_mark_that_was_written_in_part)
{
    constexpr std::size_t mark_bytes = 20;
    const auto size = fill();
    const auto most = fs::file_size(log_file()) - size + mark_bytes;
    for (std::size_t room = most - 3 * mark_bytes; room < most; ++room)
    {
        fs::remove_all(folder_);
        auto opened = open();
        auto& log = opened.value();
        EXPECT_TRUE(log.write({write_of(1, 5)}));
        disk_.room = room;
        EXPECT_FALSE(log.write({write_of(6, 10)}));
        EXPECT_FALSE(log.recover());
        disk_.room.reset();
        const auto found = log.recover();
        ASSERT_TRUE(found) << room << ": " << found.error().detail;
        EXPECT_GE(found.value().entries.size(), 5);
        const auto kept = found.value().entries.size();
        EXPECT_TRUE(log.write({write_of(kept + 1, 12)}));
        opened = open_again(std::move(opened));
        EXPECT_EQ(opened.value().stored().entries.size(), 12);
    }
}

// The disk fills up at every byte of a compaction.
TEST_F(durable_log_test, goes_on_after_a_compaction_that_broke_off)
{
    const auto base = std::make_shared<const log_snapshot>(
        log_snapshot{log_index(8), term_number(1), membership(), "the state"});
    auto compacted = write_of(9, 10);
    compacted.install = base;
    for (std::size_t room = 0; room < 700; room += 7)
    {
        fs::remove_all(folder_);
        fill();
        auto opened = open();
        auto& log = opened.value();
        disk_.room = room;
        const bool done = log.write({compacted}).has_value();
        disk_.room.reset();
        const auto found = log.recover();
        ASSERT_TRUE(found) << room;
        EXPECT_EQ(found.value().entries.size(), done ? 2 : 10);
        EXPECT_TRUE(log.write({write_of(11, 12)}));
        opened = open_again(std::move(opened));
        EXPECT_EQ(opened.value().stored().entries.size(), done ? 4 : 12);
    }
}

TEST_F(durable_log_test, a_failed_sync_is_not_acknowledged)
{
    auto log = open();
    disk_.sync_fails = true;
    EXPECT_FALSE(log.value().write({write_of(1, 5)}));
    disk_.sync_fails = false;
    EXPECT_FALSE(log.value().write({write_of(6, 10)}));
}

TEST_F(durable_log_test, a_snapshot_replaces_the_log)
{
    fill();
    const auto base = std::make_shared<const log_snapshot>(
        log_snapshot{log_index(8), term_number(1), membership(), "the state"});
    {
        auto log = open();
        auto compacted = write_of(9, 10);
        compacted.install = base;
        EXPECT_TRUE(log.value().write({compacted, write_of(11, 12)}));
    }
    const auto log = open();
    ASSERT_TRUE(log);
    EXPECT_EQ(*log.value().stored().base, *base);
    EXPECT_EQ(log.value().stored().entries, write_of(9, 12).entries);
    EXPECT_EQ(log.value().node(), node_id("a-1"));
}

// The disk fills up at every byte of the way: the old state or the new one.
TEST_F(durable_log_test, compaction_that_breaks_off_leaves_the_old_state)
{
    const auto base = std::make_shared<const log_snapshot>(
        log_snapshot{log_index(8), term_number(1), membership(), "the state"});
    auto compacted = write_of(9, 10);
    compacted.install = base;
    for (std::size_t room = 0; room < 700; room += 7)
    {
        fs::remove_all(folder_);
        fill();
        bool done = false;
        {
            auto log = open();
            disk_.room = room;
            done = log.value().write({compacted}).has_value();
            disk_.room.reset();
        }
        const auto log = open();
        ASSERT_TRUE(log) << room;
        EXPECT_EQ(log.value().stored().base != nullptr, done);
        EXPECT_EQ(log.value().stored().entries.size(), done ? 2 : 10);
    }
}

TEST_F(durable_log_test, one_process_uses_a_folder)
{
    const auto first = open();
    const auto second = open();
    ASSERT_FALSE(second);
    EXPECT_NE(second.error().detail.find("in use"), std::string::npos);
}

} // namespace

} // namespace lagoonquay
