//! Resources that a task needs and a worker offers.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonquay
{

//! Amounts of resources, as a need or as a capacity.
struct resources
{
    std::uint32_t processors_milli = 0; //!< thousandths of a processor
    std::uint32_t memory_mb = 0;        //!< mebibytes
    std::uint32_t accelerators = 0;

    friend auto operator<=>(const resources&, const resources&) = default;
};

//! @return whether `capacity` covers `need` in every resource.
bool fits(const resources& need, const resources& capacity) noexcept;

//! @return the name of the first resource that does not fit, if any.
std::optional<std::string> first_misfit(const resources& need,
                                        const resources& capacity);

//! @return what remains of `capacity`, floored at zero.
resources subtract(const resources& capacity, const resources& used) noexcept;

//! @return the sum of both, capped at the largest value.
resources add(const resources& left, const resources& right) noexcept;

} // namespace lagoonquay
