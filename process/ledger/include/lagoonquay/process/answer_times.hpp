//! How long ledger replicas take to answer.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <mutex>

namespace lagoonquay
{

struct answer_times_options
{
    duration least = std::chrono::milliseconds(60);
    duration most = std::chrono::milliseconds(250);
};

//! Tells how long to wait for a replica before another is asked in its place.
//! While all are slow another one is no faster, and asking it makes it slower.
//! Thread-safe.
class answer_times
{
public:
    explicit answer_times(answer_times_options options) noexcept;

    //! Notes the time that one answer took.
    void note(duration took);

    //! @return the time within which nearly all answers come.
    duration patience() const;

private:
    const answer_times_options options_;
    mutable std::mutex mutex_;
    duration mean_{};
    duration deviation_{};
};

} // namespace lagoonquay
