//! Lines and metrics about how busy a process is.
#pragma once

#include "lagoonquay/connection/traffic_meter.hpp"
#include "lagoonquay/process/metrics_text.hpp"

#include <map>
#include <string>
#include <vector>

namespace lagoonquay
{

class io_threads;

//! Writes what was exchanged with others and how late timers ran, each time
//! since the last time. Not thread-safe.
class load_report
{
public:
    //! Both must outlive this object.
    load_report(io_threads& io, traffic_meter& meter);

    //! Between two calls of write().
    static constexpr duration period = std::chrono::seconds(5);

    //! Writes one line for the process and one for each path.
    //! @param view_age  of the fleet's state that decisions rest on.
    void write(duration view_age);

    //! As above, for a process that holds the fleet's state itself.
    void write();

private:
    void write_paths();

    io_threads& io_;
    traffic_meter& meter_;
    std::map<std::string, path_traffic> last_;
};

//! @return the samples of some sums.
std::vector<metric_sample>
traffic_samples(const std::vector<path_traffic>& sums);

} // namespace lagoonquay
