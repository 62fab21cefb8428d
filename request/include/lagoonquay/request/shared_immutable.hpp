//! Immutable value whose copies share their storage.
#pragma once

#include <memory>
#include <utility>

namespace lagoonquay
{

//! As immutable<Options>, for values that are large and copied often.
template <typename Options>
class shared_immutable
{
public:
    using options_type = Options;

    shared_immutable() : options_(empty())
    {
    }
    explicit shared_immutable(Options options)
        : options_(std::make_shared<const Options>(std::move(options)))
    {
    }

    const Options* operator->() const noexcept
    {
        return options_.get();
    }
    const Options& operator*() const noexcept
    {
        return *options_;
    }

    friend bool operator==(const shared_immutable& left,
                           const shared_immutable& right)
    {
        return left.options_ == right.options_ ||
               *left.options_ == *right.options_;
    }

private:
    static const std::shared_ptr<const Options>& empty()
    {
        static const auto value = std::make_shared<const Options>();
        return value;
    }

    std::shared_ptr<const Options> options_;
};

} // namespace lagoonquay
