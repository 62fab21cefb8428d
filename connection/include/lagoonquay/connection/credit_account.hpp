//! An entry's credits on one link. Pure.
#pragma once

#include <cstdint>

namespace lagoonquay
{

//! Credits of one link as its entry counts them. Totals count from the
//! opening of the link, so that a lost or repeated message does no harm.
//! Not thread-safe.
class credit_account
{
public:
    //! Takes over the agent's totals. A new recall is met at once from what is
    //! idle; the rest of it is void.
    void update(std::uint64_t granted_total,
                std::uint64_t recalled_total) noexcept;

    //! Uses one credit. @return false if there is none.
    bool take() noexcept;

    //! Undoes one take().
    void untake() noexcept;

    //! @return whether credits were given back since the last call.
    bool give_back() noexcept;

    //! @return all credits granted so far.
    std::uint64_t granted_total() const noexcept;

    std::uint32_t available() const noexcept;
    std::uint64_t returned_total() const noexcept;

private:
    std::uint64_t granted_ = 0;
    std::uint64_t recalled_ = 0;
    std::uint64_t used_ = 0;
    std::uint64_t returned_ = 0;
    std::uint64_t returned_told_ = 0;
};

} // namespace lagoonquay
