//! Immutable value over an option struct.
#pragma once

#include <compare>
#include <utility>

namespace lagoonquay
{

//! Holds Options that can be copied and compared whole but not changed.
//!
//! Options must be an aggregate with defaults and a defaulted comparison.
template <typename Options>
class immutable
{
public:
    using options_type = Options;

    immutable() = default;
    explicit immutable(Options options) : options_(std::move(options))
    {
    }

    const Options* operator->() const noexcept
    {
        return &options_;
    }
    const Options& operator*() const noexcept
    {
        return options_;
    }

    //! @return a copy to which `change` has been applied.
    template <typename Change>
    immutable with(Change change) const
    {
        Options copy = options_;
        change(copy);
        return immutable(std::move(copy));
    }

    friend bool operator==(const immutable&, const immutable&) = default;

private:
    Options options_;
};

} // namespace lagoonquay
