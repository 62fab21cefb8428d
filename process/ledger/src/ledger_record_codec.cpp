#include "lagoonquay/process/ledger_record_codec.hpp"

#include "lagoonquay/process/ledger_codec.hpp"
#include "lagoonquay/request/json_fields.hpp"
#include "short_tables.hpp"

#include <boost/json.hpp>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

json::array record_to_json(const ledger_record& it, std::size_t holder,
                           std::size_t reach)
{
    const auto& claim = it->claim;
    return {claim->submission.text(),
            std::to_string(claim->digest.number()),
            holder,
            claim->round.number(),
            claim->ask.number(),
            claim->lease.count(),
            reach,
            it->highest_round.number(),
            claim->close ? 1 : 0,
            claim->dated ? claim->created.time_since_epoch().count() + 1 : 0,
            it->lapsed_for.count()};
}

ledger_record record_from_json(const json::value& source,
                               const std::vector<record_holder>& holders,
                               const std::vector<agent_reach>& reaches,
                               json_fields& errors)
{
    item_reader items(source, errors);
    claim_request_options claim;
    claim.submission = submission_id(items.text());
    claim.digest = content_digest(items.wide_number());
    const auto holder = items.item_of(holders);
    claim.holder = holder.entry;
    claim.holder_run = holder.run;
    claim.holder_address = holder.address;
    claim.round = claim_round(items.number());
    claim.ask = claim_sequence(items.number());
    claim.lease = duration(items.number());
    claim.reach = items.item_of(reaches);
    const claim_round highest(items.number());
    claim.close = items.number() != 0;
    const auto created = items.number();
    claim.dated = created != 0;
    if (claim.dated)
        claim.created = wall_time(std::chrono::milliseconds(created - 1));
    const duration lapsed_for(items.number());
    items.expect_end();
    return ledger_record(
        ledger_record_options{.claim = claim_request(std::move(claim)),
                              .highest_round = highest,
                              .lapsed_for = lapsed_for});
}

} // namespace

std::string encode_record_page(const ledger_record_page& page,
                               const reach_digests& known)
{
    short_reaches reaches(known);
    value_table<record_holder> holders;
    json::array records;
    for (const auto& it : page.records)
        records.push_back(record_to_json(it, holders.add(holder_of(it->claim)),
                                         reaches.add(it->claim->reach)));
    json::object object{{"holders", holders_to_json(holders.values())},
                        {"records", std::move(records)}};
    reaches.write(object);
    if (page.next)
        object["next"] = *page.next;
    return json::serialize(object);
}

request_result<told_records> decode_record_page(std::string_view text,
                                                const reaches_by_digest& known)
{
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    if (fields.member("holders") == nullptr)
    {
        BOOST_OUTCOME_TRY(auto page, decode_ledger_records(text));
        return told_records{.page = std::move(page)};
    }
    told_records told;
    if (fields.member("next") != nullptr)
        told.page.next = fields.number("next", 0, json_exact_limit);
    const auto holders = holders_from_json(fields);
    told.reaches = short_reaches_from_json(fields, known);
    const auto* source = fields.array("records");
    if (source != nullptr)
    {
        for (const auto& it : *source)
        {
            if (fields.failed())
                break;
            told.page.records.push_back(
                record_from_json(it, holders, told.reaches, fields));
        }
    }
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return told;
}

std::string encode_record_question(const record_question& question)
{
    json::array entries;
    for (const auto& it : question.scope->entries)
        entries.push_back(json::array{to_text(it.address), it.domain.text()});
    json::object object{{"self", to_text(question.scope->self)},
                        {"entries", std::move(entries)}};
    if (!question.known.empty())
        object["known"] = to_text(question.known);
    return json::serialize(object);
}

request_result<record_question> decode_record_question(std::string_view text)
{
    constexpr std::size_t max_address = 256;
    constexpr std::size_t max_digests = 4096;
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    json_fields fields(document, "");
    const auto read_address = [&](const std::string& written)
    {
        auto address = parse_endpoint(written);
        if (address)
            return std::move(address).value();
        fields.reject(request_errc::malformed, "no address and port");
        return endpoint();
    };
    record_scope_options scope;
    scope.self = read_address(fields.text("self", max_address));
    const auto* source = fields.array("entries");
    if (source != nullptr)
    {
        for (const auto& it : *source)
        {
            item_reader items(it, fields);
            auto address = read_address(items.text());
            scope.entries.push_back(
                {std::move(address), domain_id(items.text())});
            items.expect_end();
        }
    }
    auto known = parse_reach_digests(fields.text_or("known", "", max_digests));
    if (!known)
        fields.reject(request_errc::malformed, "no digests of reaches");
    if (fields.failed())
        return BOOST_OUTCOME_V2_NAMESPACE::failure(fields.error());
    return record_question{.scope = record_scope(std::move(scope)),
                           .known = std::move(*known)};
}

} // namespace lagoonquay
