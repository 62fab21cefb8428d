// Seeded schedules of faults against the promises of the replicated log.
#include "fake_cluster.hpp"

#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr unsigned schedules = 300;
constexpr unsigned schedule_steps = 600;
constexpr unsigned settle_steps = 800;

//! Draws faults and commands, and checks what each step must keep.
class schedule
{
public:
    explicit schedule(unsigned seed) : all_(seed)
    {
        all_.faults = {.drop = seed % 3 == 0 ? 10U : 0U,
                       .duplicate = 10,
                       .longest_delay = 1 + seed % 4,
                       .slow_sync = seed % 2 == 0 ? 30U : 0U};
    }

    void run()
    {
        for (unsigned n = 0; n < schedule_steps; ++n)
        {
            draw_command();
            draw_fault();
            all_.step();
            check_majority_reads();
        }
        settle();
    }

    std::string broken() const
    {
        return broken_.empty() ? all_.broken() : broken_;
    }
    std::size_t commands() const
    {
        return all_.reported().size();
    }

private:
    std::size_t draw(std::size_t bound)
    {
        return all_.random()() % bound;
    }

    // Half of the commands race for one version; some are resent elsewhere.
    void draw_command()
    {
        const auto slot = draw(fake_cluster::size);
        if (draw(10) != 0)
        {
            const auto text = std::to_string(next_++);
            const auto racing = draw(2) == 0;
            command_options options{.id = command_id(text), .author = text};
            options.what = set_domain{domain_id("d" + text), false};
            if (racing)
                options.expected = all_.state(slot).view()->version;
            sent_.emplace_back(std::move(options));
        }
        if (sent_.empty())
            return;
        const auto back = draw(std::min<std::size_t>(sent_.size(), 5));
        all_.propose(slot, sent_[sent_.size() - 1 - back]);
    }

    void draw_fault()
    {
        const auto slot = draw(fake_cluster::size);
        switch (draw(60))
        {
        case 0:
            return all_.crash(slot);
        case 1:
        case 2:
        case 3:
            return all_.restart(slot);
        case 4:
            return all_.isolate(slot);
        case 5:
        case 6:
            return all_.heal();
        case 7:
            return all_.freeze(slot);
        case 8:
        case 9:
            return all_.wake(slot);
        case 10:
            if (all_.running(slot))
                all_.hand_over(slot);
            return;
        case 11:
        case 12:
            if (all_.whole())
                all_.wipe(slot);
            return;
        default:
            return;
        }
    }

    // Whatever a replica has reported as accepted, every majority of the
    // replicas that answer permit requests must show.
    void check_majority_reads()
    {
        for (std::size_t n = 0; n < fake_cluster::size; ++n)
        {
            const auto m = (n + 1) % fake_cluster::size;
            if (!all_.votes(n) || !all_.votes(m))
                continue;
            ++reads_;
            for (const auto& [id, outcome] : all_.reported())
            {
                const domain_id out("d" + id.text());
                if (!outcome.accepted || all_.shows_out(n, out) ||
                    all_.shows_out(m, out))
                    continue;
                broken_ = "a majority read missed a committed out";
            }
        }
    }

    void settle()
    {
        all_.heal();
        all_.faults = {};
        for (std::size_t n = 0; n < fake_cluster::size; ++n)
        {
            all_.wake(n);
            all_.restart(n);
        }
        all_.steps(settle_steps);
        if (!all_.whole())
            broken_ = "the replicas did not settle";
        for (std::size_t n = 0; n < fake_cluster::size; ++n)
        {
            for (const auto& [id, outcome] : all_.reported())
            {
                if (all_.state(n).outcome_of(id) != outcome)
                    broken_ = "an acknowledged command was lost";
            }
        }
    }

    fake_cluster all_;
    std::vector<command> sent_;
    unsigned next_ = 0;
    std::size_t reads_ = 0;
    std::string broken_;
};

TEST(replica_schedules, keep_every_promise)
{
    std::size_t commands = 0;
    for (unsigned seed = 0; seed < schedules; ++seed)
    {
        schedule one(seed);
        one.run();
        ASSERT_EQ(one.broken(), "") << "seed " << seed;
        commands += one.commands();
    }
    // The schedules must let work through, or they would prove nothing.
    EXPECT_GT(commands, schedules * 20);
}

} // namespace

} // namespace lagoonquay
