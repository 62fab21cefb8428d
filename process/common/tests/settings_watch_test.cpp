#include "lagoonquay/process/settings_watch.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace lagoonquay
{

namespace
{

class settings_file : public testing::Test
{
protected:
    settings_file()
    {
        write("a = 1\n");
    }
    ~settings_file() override
    {
        std::remove(path.c_str());
    }

    void write(const std::string& text) const
    {
        std::ofstream(path) << text;
    }

    // CTest runs each test in a process of its own, several at a time.
    const std::string path = testing::TempDir() + "settings-watch-" +
                             std::to_string(::getpid()) + ".ini";
    int changes = 0;
};

TEST_F(settings_file, tells_of_each_change_once)
{
    settings_watch watch(path, [this] { ++changes; });
    watch.look();
    EXPECT_EQ(changes, 0);
    write("a = 2\n");
    watch.look();
    watch.look();
    EXPECT_EQ(changes, 1);
}

TEST_F(settings_file, a_file_that_is_gone_counts_as_unchanged)
{
    settings_watch watch(path, [this] { ++changes; });
    std::remove(path.c_str());
    watch.look();
    EXPECT_EQ(changes, 0);
    write("a = 1\n");
    watch.look();
    EXPECT_EQ(changes, 0);
}

} // namespace

} // namespace lagoonquay
