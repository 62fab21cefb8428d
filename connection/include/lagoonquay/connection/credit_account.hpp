//! An entry's credits on one link. Pure.
#pragma once

#include <cstdint>

namespace lagoonquay
{

//! Credits of one link as its entry counts them. The total counts from the
//! opening of the link, so that a lost or repeated message does no harm.
//! Not thread-safe.
class credit_account
{
public:
    //! Takes over the agent's total.
    void update(std::uint64_t granted_total) noexcept;

    //! Uses one credit. @return false if there is none.
    bool take() noexcept;

    //! Undoes one take().
    void undo_take() noexcept;

    //! Gives back every unused credit. @return the total given back so far.
    std::uint64_t give_back() noexcept;

    std::uint32_t available() const noexcept;

private:
    std::uint64_t granted_ = 0;
    std::uint64_t used_ = 0; //!< or given back
    std::uint64_t returned_ = 0;
};

} // namespace lagoonquay
