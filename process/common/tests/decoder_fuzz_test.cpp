#include "lagoonquay/connection/upstream.hpp"
#include "lagoonquay/process/claim.hpp"
#include "lagoonquay/process/held_claims_codec.hpp"
#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/process/ledger_record_codec.hpp"
#include "lagoonquay/process/operator_codec.hpp"
#include "lagoonquay/request/dispatch_codec.hpp"
#include "lagoonquay/request/job_codec.hpp"
#include "lagoonquay/version/ini_file.hpp"
#include "lagoonquay/version/version_codec.hpp"

#include <gtest/gtest.h>
#include <random>

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t seed = 20240611;
constexpr int rounds = 3000;

//! Changes a document a little, in the same way on every run.
class mutator
{
public:
    std::string mutate(std::string text)
    {
        const auto changes = 1 + draw(3);
        for (std::size_t n = 0; n < changes; ++n)
            change(text);
        return text;
    }

private:
    std::size_t draw(std::size_t below)
    {
        return below == 0 ? 0 : source_() % below;
    }

    std::string token()
    {
        static const std::vector<std::string> tokens{"\"",
                                                     "{",
                                                     "}",
                                                     "[",
                                                     "]",
                                                     ",",
                                                     ":",
                                                     "null",
                                                     "true",
                                                     "-1",
                                                     "1e99",
                                                     "NaN",
                                                     "\\u0",
                                                     "\xff",
                                                     "\\ud800",
                                                     "0.5",
                                                     "{}",
                                                     "[]",
                                                     "\n",
                                                     std::string(1, '\0'),
                                                     "18446744073709551616"};
        return tokens[draw(tokens.size())];
    }

    void change(std::string& text)
    {
        const auto at = draw(text.size() + 1);
        switch (draw(5))
        {
        case 0:
            text.insert(at, token());
            break;
        case 1:
            text.erase(at, 1 + draw(8));
            break;
        case 2:
            text.resize(at);
            break;
        case 3:
        {
            const auto length = draw(40);
            text.insert(at, text.substr(draw(text.size() + 1), length));
            break;
        }
        default:
            if (at < text.size())
                text[at] = static_cast<char>(draw(256));
        }
    }

    std::mt19937_64 source_{seed};
};

//! A decoder must survive any text, and agree with its encoder on what it
//! takes.
template <typename Decode, typename Encode>
void check(const std::string& name, const std::string& valid, Decode decode,
           Encode encode)
{
    SCOPED_TRACE(name);
    ASSERT_TRUE(decode(valid));
    mutator source;
    for (int n = 0; n < rounds; ++n)
    {
        const auto text = n == 0 ? valid : source.mutate(valid);
        const auto decoded = decode(text);
        if (!decoded)
            continue;
        const auto again = decode(encode(decoded.value()));
        ASSERT_TRUE(again) << "round " << n << ": " << text;
        ASSERT_TRUE(again.value() == decoded.value())
            << "round " << n << ": " << text;
    }
}

reaches_by_digest known_to_reader()
{
    const agent_reach reach{{agent_id("a"), incarnation(3)}};
    return {{digest_of(reach), reach}};
}

// The tables of a message may have more reaches than its claims.
request_result<held_claims> decode_short_held(std::string_view text)
{
    auto told = decode_short_held_claims(text, known_to_reader());
    if (!told)
        return BOOST_OUTCOME_V2_NAMESPACE::failure(told.error());
    return std::move(told.value().held);
}

request_result<ledger_record_page> decode_short_records(std::string_view text)
{
    auto told = decode_record_page(text, known_to_reader());
    if (!told)
        return BOOST_OUTCOME_V2_NAMESPACE::failure(told.error());
    return std::move(told.value().page);
}

record_question sample_question()
{
    ledger_peer self;
    self.address = {"127.0.0.1", 1};
    self.domain = domain_id("d");
    return {.scope = make_record_scope(self, {self}),
            .known = digests_of(known_to_reader())};
}

job sample_job()
{
    return job({.submission = submission_id("s"),
                .customer = customer_id("c"),
                .created = wall_time(std::chrono::milliseconds(5)),
                .time_limit = std::chrono::milliseconds(7),
                .idempotent = true,
                .tasks = {task({.kind = "k",
                                .payload = "{\"a\":1}",
                                .need = {1, 2, 3},
                                .declared_run = std::chrono::milliseconds(9)}),
                          task({.kind = "l"})}});
}

task_result sample_result()
{
    return task_result({.index = task_index(1),
                        .reason = failure_reason::upstream_failed,
                        .ran = effect::ran,
                        .body = {},
                        .detail = "why"});
}

member sample_member()
{
    return member({.role = member_role::agent,
                   .id = "a",
                   .run = incarnation(3),
                   .domain = domain_id("d"),
                   .address = "127.0.0.1:1",
                   .slots = 8,
                   .capacity = {1, 2, 3},
                   .serving = true});
}

TEST(decoder_fuzz, job_and_answer)
{
    const job_limits limits;
    check(
        "job", encode_job(sample_job()),
        [&](const std::string& it) { return decode_job(it, limits); },
        encode_job);
    // A single request has no encoder of its own: it becomes a job.
    mutator source;
    const std::string single =
        R"({"submission":"s","customer":"c","created_ms":1,"kind":"k",)"
        R"("idempotent":true,"payload":"p"})";
    for (int n = 0; n < rounds; ++n)
    {
        const auto read = decode_single_request(source.mutate(single), limits);
        if (!read)
            continue;
        const auto again = decode_job(encode_job(read.value()), limits);
        ASSERT_TRUE(again) << "round " << n;
        ASSERT_EQ(again.value(), read.value()) << "round " << n;
    }
}

TEST(decoder_fuzz, answer)
{
    const job_answer failed({.submission = submission_id("s"),
                             .reason = failure_reason::upstream_failed,
                             .ran = effect::ran,
                             .detail = "why",
                             .results = {},
                             .failures = {sample_result()}});
    check("answer", encode_answer(failed), decode_answer, encode_answer);
}

TEST(decoder_fuzz, frame)
{
    dispatch_message dispatch;
    dispatch.submission = submission_id("s");
    dispatch.key = {task_index(1), attempt_number(2), agent_id("a"),
                    incarnation(4)};
    dispatch.work = sample_job()->tasks.front();
    const auto key = dispatch.key;
    check(
        "frame",
        encode_frame({hello_message{entry_id("e"), incarnation(1)},
                      grant_message{}, return_message{}, dispatch,
                      result_message{dispatch.submission, key, sample_result()},
                      cancel_message{dispatch.submission, key}}),
        decode_frame, encode_frame);
}

TEST(decoder_fuzz, claim_and_vote)
{
    check(
        "claim",
        encode_claim_request(claim_request({.submission = submission_id("s"),
                                            .holder = entry_id("e"),
                                            .holder_address = "127.0.0.1:1",
                                            .lease = std::chrono::seconds(5)})),
        decode_claim_request, encode_claim_request);
    check("claim vote",
          encode_claim_vote(claim_vote({.verdict = claim_verdict::held,
                                        .holder_address = "127.0.0.1:1"})),
          decode_claim_vote, encode_claim_vote);
}

TEST(decoder_fuzz, held_claims_and_records)
{
    const claim_request claim({.submission = submission_id("s"),
                               .dated = false,
                               .holder = entry_id("e"),
                               .holder_address = "127.0.0.1:1",
                               .round = claim_round(1),
                               .close = true,
                               .lapsed = true,
                               .lease = std::chrono::seconds(5),
                               .reach = {{agent_id("a"), incarnation(3)}}});
    check("held claims",
          encode_held_claims({.settled = true, .claims = {claim, claim}}),
          decode_held_claims, encode_held_claims);
    check("established entries",
          encode_held_claims(
              {.established =
                   std::vector<endpoint>{{"127.0.0.1", 1}, {"127.0.0.1", 2}},
               .listed_for = std::chrono::seconds(1)}),
          decode_held_claims, encode_held_claims);
    const ledger_record record(
        {.claim = claim, .highest_round = claim_round(4)});
    check("records",
          encode_ledger_records({.records = {record, record}, .next = 3}),
          decode_ledger_records, encode_ledger_records);
    check("short records",
          encode_record_page({.records = {record, record}, .next = 3}),
          decode_short_records,
          [](const ledger_record_page& it) { return encode_record_page(it); });
    check("short records with known reaches",
          encode_record_page({.records = {record, record}, .next = 3},
                             digests_of(known_to_reader())),
          decode_short_records,
          [](const ledger_record_page& it) { return encode_record_page(it); });
    check("short held claims",
          encode_short_held_claims({.settled = true, .claims = {claim, claim}},
                                   {}),
          decode_short_held,
          [](const held_claims& it)
          { return encode_short_held_claims(it, {}); });
    check("short held claims with known reaches",
          encode_short_held_claims({.settled = true, .claims = {claim, claim}},
                                   digests_of(known_to_reader())),
          decode_short_held,
          [](const held_claims& it)
          { return encode_short_held_claims(it, {}); });
    check("question for records", encode_record_question(sample_question()),
          decode_record_question, encode_record_question);
}

TEST(decoder_fuzz, command_and_outcome)
{
    check("command",
          encode_command(command({.id = command_id("c"),
                                  .author = "me",
                                  .expected = version_number(3),
                                  .what = set_settings{"[a]\nb = c\n"}})),
          decode_command, encode_command);
    check("outcome", encode_outcome({true, version_number(3), "me"}),
          decode_outcome, encode_outcome);
}

queue_catalog sample_catalog()
{
    return queue_catalog({.revision = catalog_revision(3),
                          .queues = {{.id = queue_id("q"),
                                      .host = "h",
                                      .prefix = "/p/",
                                      .service = service_id("s"),
                                      .time_limit = std::chrono::seconds(1),
                                      .stretch = 1.5}},
                          .services = {{service_id("s"), true}},
                          .source = "{}"});
}

TEST(decoder_fuzz, heartbeat_and_reply)
{
    check("heartbeat",
          encode_permit_request({sample_member(),
                                 version_number(3),
                                 {},
                                 {incarnation(1), 5},
                                 true,
                                 catalog_revision(2)}),
          decode_permit_request, encode_permit_request);
    permit_reply reply;
    reply.vote =
        permit_vote{.replica = replica_id("r"),
                    .view = fleet_view({.version = version_number(2),
                                        .out_domains = {domain_id("d")},
                                        .catalog = sample_catalog()})};
    reply.replicas = replica_set{
        log_index(4), membership({.members = {{node_id("n"), replica_id("r"),
                                               "1.2.3.4:5", true}}})};
    reply.members = {.mark = {incarnation(1), 5},
                     .whole = true,
                     .agents = {sample_member()},
                     .entries = {sample_member()},
                     .gone = {"side-1"}};
    reply.queue_changes = changes_between(queue_catalog(), sample_catalog());
    reply.queue_changes->gone = {{"h", "/old/"}};
    check(
        "reply", encode_permit_reply(reply),
        [](std::string_view text) { return decode_permit_reply(text); },
        encode_permit_reply);
}

TEST(decoder_fuzz, announcement)
{
    upstream_announcement it;
    it.address = {"127.0.0.1", 7};
    it.slots = 8;
    check("announcement", encode_announcement(it), decode_announcement,
          encode_announcement);
}

TEST(decoder_fuzz, ini)
{
    const std::string valid = "[process]\nid = a\n; note\n[log]\nlevel=info\n";
    mutator source;
    int taken = 0;
    for (int n = 0; n < rounds; ++n)
    {
        auto file = ini_file::parse(source.mutate(valid), "f");
        if (!file)
            continue;
        ++taken;
        file.value().text("process", "id");
        file.value().duration_or("log", "level", duration(1), duration(1),
                                 duration(2));
        if (!file.value().finish())
            continue;
        EXPECT_TRUE(file.value().has("process", "id"));
        EXPECT_FALSE(file.value().has("log", "level"));
    }
    EXPECT_GT(taken, 0);
}

} // namespace

} // namespace lagoonquay
