// Takeover of records over HTTP.
#include "lagoonquay/connection/http_client.hpp"
#include "lagoonquay/connection/http_routes.hpp"
#include "lagoonquay/connection/http_server.hpp"
#include "lagoonquay/process/held_claims_http.hpp"
#include "lagoonquay/process/io_threads.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/ledger_records_http.hpp"
#include "lagoonquay/process/ledger_replica.hpp"

#include <future>
#include <gtest/gtest.h>

namespace lagoonquay
{

namespace
{

class ledger_records_http : public testing::Test
{
protected:
    ~ledger_records_http() override
    {
        io_.stop();
    }

    void listen(const std::string& path)
    {
        const auto records = [this](const http_request& request,
                                    std::string_view first,
                                    const http_responder& respond)
        {
            ++pages_;
            respond(
                ledger_records_response(ledger_, request, first, page_records));
        };
        auto listening = http_server::listen(
            io_.context(), {.listen = {"127.0.0.1", 0}},
            route_requests({{http_method::get, path, records}}));
        ASSERT_TRUE(listening);
        listener_.emplace(std::move(listening).value());
    }

    std::optional<peer_records>
    take_page(const endpoint& peer, std::uint64_t first_shard, bool proves_end)
    {
        std::promise<std::optional<peer_records>> taken;
        request_ledger_records(
            client_.send_hook(), peer,
            make_record_scope({peer, domain_id("d")}, {}), first_shard,
            reaches_, [proves_end] { return proves_end; },
            [&taken](const std::optional<peer_records>& it)
            { taken.set_value(it); });
        return taken.get_future().get();
    }

    //! @return what all pages tell together.
    std::optional<peer_records> take(const endpoint& peer, bool proves_end)
    {
        peer_records told;
        for (std::optional<std::uint64_t> next = 0; next;)
        {
            auto page = take_page(peer, *next, proves_end);
            if (!page)
                return std::nullopt;
            told.gone = page->gone;
            told.records.insert(told.records.end(), page->records.begin(),
                                page->records.end());
            next = page->next;
        }
        return told;
    }

    std::optional<held_claims> ask_for_established(const endpoint& peer)
    {
        std::promise<std::optional<held_claims>> told;
        request_established(
            client_, peer, [] { return true; },
            [&told](const std::optional<held_claims>& it)
            { told.set_value(it); });
        return told.get_future().get();
    }

    endpoint address() const
    {
        return {"127.0.0.1", listener_->port()};
    }

    //! Fewer than the product's: with a sanitizer, on a busy machine, a page of
    //! these takes longer than its timeout.
    static constexpr std::size_t page_records = 200;

    known_reaches reaches_;
    io_threads io_{2};
    http_client client_{io_.context(), {}};
    ledger_replica ledger_{{.complete = true}, steady_now, wall_now};
    std::atomic<int> pages_{0};
    std::optional<http_server> listener_;
};

} // namespace

TEST_F(ledger_records_http, takes_all_pages)
{
    listen("/v1/ledger/records/");
    for (std::size_t n = 0; n < 5000; ++n)
        ledger_.claim(
            claim_request({.submission = submission_id("s" + std::to_string(n)),
                           .dated = false,
                           .holder = entry_id("e"),
                           .holder_run = incarnation(1),
                           .holder_address = "127.0.0.1:1",
                           .ask = claim_sequence(1),
                           .lease = std::chrono::seconds(5)}));
    const auto told = take(address(), true);
    ASSERT_TRUE(told);
    EXPECT_FALSE(told->gone);
    EXPECT_EQ(told->records.size(), 5000U);
    EXPECT_GT(pages_, 1);
}

// An entry of an earlier version asks without the query.
TEST_F(ledger_records_http, tells_an_earlier_version_the_long_form)
{
    ledger_.claim(claim_request({.submission = submission_id("s"),
                                 .dated = false,
                                 .holder = entry_id("e"),
                                 .holder_run = incarnation(1),
                                 .ask = claim_sequence(1),
                                 .lease = std::chrono::seconds(5)}));
    std::size_t told = 0;
    for (const auto* const shard : {"0", "5", "10"})
    {
        const auto page = decode_ledger_records(
            ledger_records_response(ledger_, {}, shard).body);
        ASSERT_TRUE(page);
        told += page.value().records.size();
    }
    EXPECT_GE(told, 1U);
}

// Guards against a replica that never votes beside peers of an older version.
TEST_F(ledger_records_http, takes_none_from_a_peer_that_does_not_know_them)
{
    listen("/v1/other");
    const auto told = take(address(), true);
    ASSERT_TRUE(told);
    EXPECT_EQ(*told, peer_records());
}

TEST_F(ledger_records_http, counts_a_refusal_as_an_end_only_with_proof)
{
    listen("/v1/ledger/records/");
    const auto gone = address();
    listener_.reset();
    EXPECT_EQ(take(gone, true), peer_records{.gone = true});
    EXPECT_EQ(take(gone, false), std::nullopt);
}

TEST_F(ledger_records_http, rejects_what_is_no_shard)
{
    for (const std::string it : {"", "x", "-1", "1x", "99999999999999999999"})
        EXPECT_EQ(ledger_records_response(ledger_, {}, it).status,
                  http_status::bad_request)
            << it;
    EXPECT_EQ(
        ledger_records_response(ledger_, {}, "16").body,
        ledger_records_response(ledger_, {}, "18446744073709551615").body);
}

TEST_F(ledger_records_http, rejects_what_is_no_scope)
{
    http_request request;
    request.query = "form=short";
    for (const std::string it :
         {"", "x", "{}", "[", "[]", "null", "{\"self\":1}",
          "{\"self\":\"127.0.0.1:1\",\"entries\":[1]}"})
    {
        request.body = it;
        const auto response = ledger_records_response(ledger_, request, "0");
        EXPECT_EQ(response.status, http_status::bad_request) << it;
        EXPECT_EQ(response.body.find("records"), std::string::npos) << it;
    }
    ledger_peer self;
    self.address = {"127.0.0.1", 1};
    self.domain = domain_id("d");
    request.body =
        encode_record_question({.scope = make_record_scope(self, {})});
    EXPECT_EQ(ledger_records_response(ledger_, request, "0").status,
              http_status::ok);
}

TEST_F(ledger_records_http, learns_nothing_of_established_ones_if_unknown)
{
    listen("/v1/other");
    const auto gone = address();
    listener_.reset();
    EXPECT_EQ(ask_for_established(gone), held_claims{.gone = true});
    listen("/v1/other");
    EXPECT_EQ(ask_for_established(address()), std::nullopt);
}

} // namespace lagoonquay
