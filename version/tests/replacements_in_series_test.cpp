// Replicas are lost for good one after the other, as fast as the time allows in
// which a new one has to stand in for a lost one.
#include "growing_log.hpp"
#include "lagoonquay/version/replacement_times.hpp"

#include <random>
#include <set>

namespace lagoonquay
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(100);
constexpr duration catch_up = seconds(4);
constexpr int return_ticks = 10;  // from a loss to the start of the new replica
constexpr int asking_ticks = 5;   // between two questions of a new replica
constexpr int series_ticks = 220; // and some rest

// A replica counts as lost until catch_up after the new one's start, and at
// most two count as lost at once.
const std::set<int> losses{0, 30, 50, 80, 100, 130};

class replacements_in_series : public growing_log
{
protected:
    void play(unsigned seed, bool leaders)
    {
        all.clear();
        draws = seed;
        random_.seed(seed);
        bootstrap({"a", "b", "c", "d", "e"});
        steps(60);
        new_names_ = {};
        next_name_ = 'f';
        for (int now = 0; now < series_ticks; ++now)
        {
            if (losses.contains(now))
                lose(leaders);
            if (losses.contains(now - return_ticks))
                add_next();
            if (now % asking_ticks == 0)
                ask_all();
            step();
        }
    }

    void lose(bool leaders)
    {
        std::vector<std::string> names;
        for (const auto& [name, it] : all)
        {
            if (!leaders || it.leads())
                names.push_back(name);
        }
        if (names.empty())
            names.push_back(all.begin()->first);
        all.erase(names[random_() % names.size()]);
    }

    void add_next()
    {
        const auto name = std::string(1, next_name_++);
        add(name);
        new_names_.push_back(name);
    }

    void ask_all()
    {
        for (const auto& it : new_names_)
        {
            if (all.contains(it) && leader() != nullptr && !has(it))
                ask_to_join(it);
        }
    }

    bool commits()
    {
        auto* it = leader();
        if (it == nullptr)
            return false;
        const auto before = it->status().commit;
        if (!it->propose(
                command({.id = command_id("x"), .what = read_barrier{}})))
            return false;
        steps(3);
        return leader() != nullptr && leader()->status().commit > before;
    }

private:
    std::mt19937 random_;
    std::vector<std::string> new_names_;
    char next_name_ = 'f';
};

} // namespace

// Guards against a cluster that lost its majority for good: the places of lost
// replicas were given away only after twice the time in which others may be
// lost, and each new leader counted that time anew.
TEST_F(replacements_in_series, leave_a_cluster_that_commits)
{
    const auto times = replacement_times_for(catch_up);
    replace_ticks = static_cast<std::uint32_t>(times.replace_after / tick);
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        play(seed, seed % 2 == 0);
        EXPECT_TRUE(commits()) << "seed " << seed;
    }
}

TEST(replacement_times, a_replaced_replica_has_stopped_to_vote)
{
    const auto times = replacement_times_for(catch_up);
    EXPECT_LT(times.leaderless_votes, times.replace_after);
    EXPECT_LT(times.replace_after, catch_up);
}

} // namespace lagoonquay
