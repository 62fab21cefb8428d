//! Checks that no two entries hold one submission at the same time.
#pragma once

#include "lagoonquay/process/claim.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lagoonquay
{

//! A claim as its holder sees it.
struct held_round
{
    std::size_t entry = 0;
    incarnation run; //!< of the entry
    claim_round round;
    instant valid_until{};

    friend bool operator==(const held_round&, const held_round&) = default;
};

//! Counts of what was seen, to show that a schedule tests anything.
struct held_round_counts
{
    std::uint64_t first = 0;   //!< claims held in round 1
    std::uint64_t later = 0;   //!< claims held in a later round
    std::uint64_t renewed = 0; //!< renewals
    std::uint64_t lost = 0;    //!< holders that were told of another one

    friend bool operator==(const held_round_counts&,
                           const held_round_counts&) = default;
};

struct held_rounds_hooks
{
    clock_hook now;
    //! @return whether the entry's process lives in this incarnation and has
    //! the job without an answer.
    std::function<bool(const held_round&, const submission_id&)> is_open;
    std::function<void(const submission_id&, const std::string& what)>
        on_violation;
};

//! Follows the claims of all entries by their requests and outcomes.
class held_rounds
{
public:
    explicit held_rounds(held_rounds_hooks hooks);

    //! Notes a request before it is sent.
    void on_request(const claim_request& asked);
    //! Notes the outcome of a request before the entry gets it.
    void on_outcome(std::size_t entry, const claim_request& asked,
                    const claim_outcome& outcome);

    const held_round_counts& counts() const noexcept;

private:
    void hold(const submission_id& submission, const held_round& held);
    void check(const submission_id& submission, const held_round& held,
               const held_round& other) const;
    void drop(const submission_id& submission, incarnation run);

    const held_rounds_hooks hooks_;
    std::map<submission_id, std::vector<held_round>> held_;
    held_round_counts counts_;
};

} // namespace lagoonquay
