//! What a process exchanges with others, by path.
#pragma once

#include "lagoonquay/request/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonquay
{

//! What was exchanged on one path.
struct path_traffic
{
    std::string path;
    std::uint64_t exchanges = 0;  //!< requests, or frames of a link
    std::uint64_t unanswered = 0; //!< of these, without a whole response
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    duration total{};   //!< time from each request to its response
    duration longest{}; //!< of these, since the last reading

    friend bool operator==(const path_traffic&, const path_traffic&) = default;
};

//! Adds up bodies and frames, without headers. Thread-safe.
class traffic_meter
{
public:
    //! Adds to a path. Paths beyond the first few are counted as one, "other".
    void add(const path_traffic& more);

    //! @return the sums since the start, in order of their paths. `longest` is
    //! that since the last call.
    std::vector<path_traffic> read();

private:
    std::mutex mutex_;
    std::map<std::string, path_traffic> paths_;
};

} // namespace lagoonquay
