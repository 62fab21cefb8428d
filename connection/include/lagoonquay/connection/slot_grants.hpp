//! An agent's slots, divided among the links of entries. Pure.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonquay
{

//! One link of this process incarnation.
using link_number = number_id<struct link_tag>;

//! Totals that one link's entry has to hear.
struct link_grant
{
    link_number link;
    std::uint64_t credits_total = 0;
    std::uint64_t recalled_total = 0;

    friend auto operator<=>(const link_grant&, const link_grant&) = default;
};

//! Grants credits so that tasks and unused credits never exceed the slots.
//! Not thread-safe.
class slot_grants
{
public:
    //! @param slots  most tasks at once.
    explicit slot_grants(std::uint32_t slots) noexcept;

    //! Changes the number of slots; credits already granted stay valid.
    void resize(std::uint32_t slots) noexcept;

    //! Grants no more, and recalls every credit with each rebalance().
    void drain() noexcept;

    //! @return whether it drains, nothing runs and no credit is out: then no
    //! link can send a dispatch any more.
    bool drained() const noexcept;

    void open(link_number link);
    //! Forgets the link; its unused credits are free again.
    void close(link_number link);
    void demand(link_number link, std::uint32_t wanted,
                std::uint64_t returned_total);

    //! Turns a credit of the link into a running task.
    //! @param wanted  credits that the link's entry misses from now on.
    //! @return false if the link has no credit.
    bool start(link_number link, std::uint32_t wanted = 0);

    //! Frees the slot of a running task.
    void finish() noexcept;

    //! Frees the slot and grants it to the link again, unless other links need
    //! it more.
    //! @return the link's total if the credit came back to it.
    std::optional<std::uint64_t> finish_for(link_number link);

    //! Divides the free slots and recalls idle credits where others wait.
    //! @return the links whose totals changed.
    std::vector<link_grant> rebalance();

    //! @return the totals of one link.
    link_grant totals(link_number link) const;

    std::uint32_t running() const noexcept;
    std::uint32_t slots() const noexcept;

private:
    struct account
    {
        std::uint64_t granted = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        std::uint64_t recalled = 0;
        std::uint64_t recall_due = 0;  //!< returned once the recall is met
        std::uint64_t recall_mark = 0; //!< granted when it was last recalled
        std::uint32_t wanted = 0;
        bool changed = false;
    };

    static std::uint64_t outstanding(const account& it) noexcept;
    static std::uint64_t asked_back(const account& it) noexcept;
    static std::uint64_t missing(const account& it) noexcept;
    std::uint64_t free_slots() const noexcept;
    account* most_starved() noexcept;
    account* fewest_credits() noexcept;
    void grant_free();
    void recall_all();
    void recall_idle();

    std::uint32_t slots_;
    std::uint32_t running_ = 0;
    bool draining_ = false;
    std::map<link_number, account> accounts_;
};

} // namespace lagoonquay
