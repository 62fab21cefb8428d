//! Decides when an agent's state is due on a link. Pure.
#pragma once

#include "lagoonquay/request/dispatch.hpp"
#include "lagoonquay/request/time.hpp"

#include <optional>

namespace lagoonquay
{

struct grant_pacing_options
{
    //! A clock stamp is renewed after this long. A stamp that is older by this
    //! much moves the end of a claim by the drift of the clocks over it.
    duration stamp_age = std::chrono::seconds(10);

    friend bool operator==(const grant_pacing_options&,
                           const grant_pacing_options&) = default;
};

//! Remembers what one link heard last. Not thread-safe.
class grant_pacing
{
public:
    explicit grant_pacing(grant_pacing_options options = {}) noexcept;

    //! @return whether the grant says anything that the link must hear now.
    bool due(const grant_message& grant) const noexcept;

    //! Records a grant that goes out.
    void sent(const grant_message& grant);

private:
    grant_pacing_options options_;
    std::optional<grant_message> last_;
};

} // namespace lagoonquay
