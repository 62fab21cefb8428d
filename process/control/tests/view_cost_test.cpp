// What a change with many queues costs the processes that hear of it: issue 16,
// in which five copies at a time filled the links of entries and none arrived.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/connection/traffic_meter.hpp"
#include "lagoonquay/process/control_service.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/permit_client.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <atomic>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

constexpr std::size_t replica_count = 5;
constexpr std::size_t queue_count = 1400;
// A change may take a tenth of a link of 25 Mbit/s in the 2.5 s that it has.
constexpr std::uint64_t most_entry_bytes = 25'000'000 / 8 / 10 * 5 / 2;
// What a node may spend in a second on all that control tells it.
constexpr std::uint64_t most_bytes_of_a_second = 6000;
const cluster_number cluster(1);

queue_catalog catalog_of(std::uint64_t revision, std::size_t queues)
{
    queue_catalog_options options;
    options.revision = catalog_revision(revision);
    options.services = {{service_id("kiln"), false}};
    for (std::size_t n = 0; n < queues; ++n)
    {
        const auto text = std::to_string(n);
        job_queue it;
        it.id = queue_id("queue-" + text);
        it.host = "host-" + text + ".example";
        it.prefix = "/prefix-" + text + "/";
        it.service = service_id("kiln");
        it.time_limit = std::chrono::milliseconds(1500);
        it.target = std::chrono::milliseconds(60);
        it.max_attempts = 2;
        it.stretch = 1.6;
        options.source += R"({"name":")" + it.id.text() + R"(","host":")" +
                          it.host + R"(","prefix":")" + it.prefix +
                          R"(","time_limit":"1500ms","target":"60ms"},)";
        options.queues.push_back(std::move(it));
    }
    return queue_catalog(std::move(options));
}

node_id node(std::size_t n)
{
    return node_id("node-" + std::to_string(n));
}

//! One control replica, behind a listener, that follows a leader.
class replica_host
{
public:
    //! @param denials  how many views are not sent, by all replicas together.
    replica_host(io_threads& io, std::atomic<int>& denials) : denials_(denials)
    {
        const auto beat = [this](const http_request& request, std::string_view,
                                 const http_responder& respond)
        {
            on_heartbeat(request, respond);
        };
        auto listening = http_server::listen(
            io.context(), {.listen = {"127.0.0.1", 0}},
            route_requests({{http_method::post, "/v1/heartbeat", beat}}));
        EXPECT_TRUE(listening);
        listener_.emplace(std::move(listening).value());
    }

    endpoint address() const
    {
        return {"127.0.0.1", listener_->port()};
    }

    void start(const membership& all, std::size_t n)
    {
        const auto& self = all->members[n];
        replica_.emplace(control_replica_options{.name = self.name,
                                                 .address = self.address,
                                                 .peers = {}},
                         hooks(), self.node,
                         stored_log{{cluster, term_number(1), std::nullopt},
                                    nullptr,
                                    {{log_index(1), term_number(1), all}}});
        service_.emplace(control_options{.life = incarnation(n + 1)}, *replica_,
                         steady_now);
    }

    //! Takes and applies one entry.
    void follow(std::size_t n, const log_entry& entry)
    {
        const log_index previous(entry.index.number() - 1);
        const term_number before(previous.number() > 1 ? 2 : 1);
        replica_->receive({"leader",
                           {{cluster, node(replica_count - 1), node(n),
                             append_request{.term = term_number(2),
                                            .previous = previous,
                                            .previous_term = before,
                                            .entries = {entry},
                                            .commit = entry.index,
                                            .ready = true}}}});
    }

    //! From now on, answers that hold the fleet's state stay under way.
    void hold_views()
    {
        holds_ = true;
    }

    std::size_t heard() const
    {
        return heard_;
    }

    std::size_t held() const
    {
        const std::lock_guard lock(mutex_);
        return held_.size();
    }

private:
    static control_replica_hooks hooks()
    {
        control_replica_hooks given;
        given.now = steady_now;
        given.draw = [](std::uint32_t)
        {
            return 0U;
        };
        given.draw_cluster = []
        {
            return cluster;
        };
        given.store = [](const std::vector<log_write>&) -> process_result<void>
        {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        };
        given.send = [](const std::string&, const replica_message&) {
        };
        given.greet = [](const std::string&, const replica_greeting&) {
        };
        given.forward = [](const std::string&, const command&,
                           const answer_hook&) {
        };
        return given;
    }

    void on_heartbeat(const http_request& request,
                      const http_responder& respond)
    {
        const auto asked = decode_permit_request(request.body);
        ASSERT_TRUE(asked);
        const auto reply = service_->on_heartbeat(asked.value());
        ++heard_;
        const bool has_view = reply.vote && reply.vote->view;
        if (has_view && denials_.fetch_sub(1) > 0)
            return respond({.status = http_status::unavailable});
        if (holds_ && has_view)
        {
            const std::lock_guard lock(mutex_);
            return held_.push_back(respond);
        }
        respond({.body = encode_permit_reply(reply)});
    }

    std::atomic<int>& denials_;
    std::atomic<bool> holds_ = false;
    std::atomic<std::size_t> heard_ = 0;
    mutable std::mutex mutex_;
    std::vector<http_responder> held_;
    std::optional<control_replica> replica_;
    std::optional<control_service> service_;
    std::optional<http_server> listener_;
};

//! A process that hears of a large catalog from five replicas.
class view_cost : public testing::Test
{
protected:
    view_cost()
    {
        for (std::size_t n = 0; n < replica_count; ++n)
            hosts_.push_back(std::make_unique<replica_host>(io_, denials_));
        const membership all({.members = members()});
        for (std::size_t n = 0; n < replica_count; ++n)
            hosts_[n]->start(all, n);
    }

    ~view_cost() override
    {
        io_.stop();
    }

    std::vector<replica_member> members() const
    {
        std::vector<replica_member> found;
        for (std::size_t n = 0; n < replica_count; ++n)
            found.push_back({node(n), replica_id("r" + std::to_string(n)),
                             to_text(hosts_[n]->address()), true});
        return found;
    }

    //! Four replicas of five apply the next catalog.
    void change_catalog(std::size_t queues = queue_count)
    {
        const auto number = changes_.number() + 1;
        changes_ = version_number(number);
        const command change({.id = command_id(std::to_string(number)),
                              .author = "ann",
                              .expected = std::nullopt,
                              .what = set_catalog{catalog_of(number, queues)}});
        const log_entry entry{log_index(1 + number), term_number(2), change};
        for (std::size_t n = 0; n + 1 < replica_count; ++n)
            hosts_[n]->follow(n, entry);
    }

    permit_client_options options() const
    {
        permit_client_options given;
        given.timeout = std::chrono::minutes(1);
        for (const auto& it : hosts_)
            given.replicas.push_back(it->address());
        return given;
    }

    permit_client_hooks hooks(member_role role)
    {
        member self({.role = role, .id = "a", .domain = domain_id("south-1")});
        return {.now = [this] { return instant(now_.load()); },
                .self = [it = std::move(self)] { return it; },
                .known =
                    [this]
                {
                    const std::lock_guard lock(mutex_);
                    return view_;
                },
                .set_permit =
                    [this](const permit& it)
                {
                    const std::lock_guard lock(mutex_);
                    view_ = it->view;
                    changed_.notify_all();
                },
                .heard =
                    [this]
                {
                    const std::lock_guard lock(mutex_);
                    ++majorities_;
                    changed_.notify_all();
                },
                .learn = {}};
    }

    //! Asks for permits until the newest catalog is in force.
    //! @return the bytes that the process has received so far.
    std::uint64_t bytes_until_in_force(permit_client& permits)
    {
        permits.tick();
        now_ = now_.load() + std::chrono::milliseconds(500);
        ++rounds_;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return view_->version == changes_; });
            EXPECT_EQ(view_->catalog->revision.number(), changes_.number());
        }
        wait_until(
            [this] {
                return asked() >= rounds_ * replica_count &&
                       answered() == asked();
            });
        return client_.traffic()->read().front().bytes_received;
    }

    std::size_t queues_in_force()
    {
        const std::lock_guard lock(mutex_);
        return view_->catalog->queues.size();
    }

    std::uint64_t answered()
    {
        const auto sums = client_.traffic()->read();
        return sums.empty() ? 0 : sums.front().exchanges;
    }

    std::uint64_t asked() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : hosts_)
            sum += it->heard();
        return sum;
    }

    template <typename Condition>
    static void wait_until(Condition holds)
    {
        while (!holds())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    std::atomic<duration> now_ = duration(std::chrono::seconds(100));
    std::atomic<int> denials_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    version_number changes_; //!< as many as were made
    std::size_t rounds_ = 0;
    fleet_view view_;
    int majorities_ = 0; //!< votes with which a majority had answered
    io_threads io_{1};
    http_client client_{io_.context(), {}};
    std::vector<std::unique_ptr<replica_host>> hosts_;
};

TEST_F(view_cost, of_many_queues_is_a_tenth_of_the_link_of_an_entry)
{
    permit_client permits(client_, options(), hooks(member_role::entry));
    change_catalog();
    EXPECT_LE(bytes_until_in_force(permits), most_entry_bytes);
    EXPECT_EQ(queues_in_force(), queue_count);
}

TEST_F(view_cost, of_many_queues_does_not_reach_agents)
{
    permit_client permits(client_, options(), hooks(member_role::agent));
    change_catalog();
    EXPECT_LE(bytes_until_in_force(permits), most_bytes_of_a_second);
}

TEST_F(view_cost, of_one_queue_does_not_grow_with_the_others)
{
    permit_client permits(client_, options(), hooks(member_role::entry));
    change_catalog();
    const auto before = bytes_until_in_force(permits);
    change_catalog(queue_count + 1);
    const auto after = bytes_until_in_force(permits);
    EXPECT_LE(after - before, most_bytes_of_a_second);
    EXPECT_EQ(queues_in_force(), queue_count + 1);
}

// Who waits for a view has still heard of it, so that it can say that it is
// behind.
TEST_F(view_cost, a_majority_is_heard_while_the_view_is_on_its_way)
{
    change_catalog();
    for (const auto& it : hosts_)
        it->hold_views();
    permit_client permits(client_, options(), hooks(member_role::entry));
    permits.tick();
    wait_until([this] { return answered() >= replica_count; });
    {
        const std::lock_guard lock(mutex_);
        EXPECT_GT(majorities_, 0);
        EXPECT_EQ(view_->version, version_number());
    }
    io_.stop();
}

// A replica that can't answer costs no further round of heartbeats.
TEST_F(view_cost, a_question_in_vain_goes_to_the_next_replica_at_once)
{
    change_catalog();
    permit_client permits(client_, options(), hooks(member_role::entry));
    denials_ = 1;
    bytes_until_in_force(permits);
    EXPECT_GE(asked(), replica_count + 2);
}

TEST_F(view_cost, slow_answers_do_not_add_up)
{
    constexpr std::size_t rounds = 3;
    change_catalog();
    for (const auto& it : hosts_)
        it->hold_views();
    permit_client permits(client_, options(), hooks(member_role::entry));
    for (std::size_t n = 1; n <= rounds; ++n)
    {
        permits.tick();
        wait_until([&] { return asked() >= n * replica_count; });
        now_ = now_.load() + std::chrono::milliseconds(500);
    }
    std::size_t held = 0;
    for (const auto& it : hosts_)
        held += it->held();
    EXPECT_LE(held, 1U);
    io_.stop();
}

} // namespace

} // namespace lagoonquay
