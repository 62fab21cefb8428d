//! Tables of what many claims or records of one message share, and items in
//! the order of a JSON array. Private to the ledger.
#pragma once

#include "lagoonquay/process/known_reaches.hpp"
#include "lagoonquay/process/ledger_shard.hpp"
#include "lagoonquay/request/json_fields.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonquay
{

//! The entry that a record names.
struct record_holder
{
    entry_id entry;
    incarnation run;
    std::string address;

    friend auto operator<=>(const record_holder&,
                            const record_holder&) = default;
};

record_holder holder_of(const claim_request& claim);

//! Numbers values in the order in which they come first.
template <typename Value>
class value_table
{
public:
    std::size_t add(const Value& it)
    {
        const auto [found, fresh] = numbers_.try_emplace(it, values_.size());
        if (fresh)
            values_.push_back(it);
        return found->second;
    }
    const std::vector<Value>& values() const noexcept
    {
        return values_;
    }

private:
    std::map<Value, std::size_t> numbers_;
    std::vector<Value> values_;
};

//! The distinct reaches of a message, as numbers of its agents.
class short_reaches
{
public:
    //! @param known  reaches that the reader has: named by their digest.
    explicit short_reaches(reach_digests known = {});

    std::size_t add(const agent_reach& reach);

    //! Adds the tables to a message.
    void write(boost::json::object& message) const;

private:
    const reach_digests known_;
    std::vector<agent_reach> reaches_;
};

//! Reads the items of one array in their order. The first error sticks.
class item_reader
{
public:
    item_reader(const boost::json::value& source, json_fields& errors);

    std::string text();
    std::uint64_t number();
    //! Reads a 64-bit number that was written as a decimal text.
    std::uint64_t wide_number();

    //! @return the value that a number names, or one of defaults.
    template <typename Value>
    Value item_of(const std::vector<Value>& table)
    {
        const auto index = number();
        if (index < table.size())
            return table[index];
        errors_.reject(request_errc::malformed, "no such item of a table");
        return {};
    }

    void expect_end();
    bool at_end() const noexcept;

private:
    const boost::json::value* next();

    json_fields& errors_;
    const boost::json::array* items_ = nullptr;
    std::size_t at_ = 0;
};

boost::json::array holders_to_json(const std::vector<record_holder>& holders);
std::vector<record_holder> holders_from_json(json_fields& fields);

//! @param known  reaches that the message may name by their digest.
std::vector<agent_reach>
short_reaches_from_json(json_fields& fields,
                        const reaches_by_digest& known = {});

} // namespace lagoonquay
