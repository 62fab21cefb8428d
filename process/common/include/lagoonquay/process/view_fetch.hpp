//! Decides which control replica is asked for a newer view. Pure.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/fleet_view.hpp"

#include <map>
#include <optional>

namespace lagoonquay
{

struct view_fetch_options
{
    duration first_timeout = std::chrono::milliseconds(900);
    duration longest_timeout = std::chrono::seconds(15);

    friend bool operator==(const view_fetch_options&,
                           const view_fetch_options&) = default;
};

//! A replica to ask, and how long to wait for its answer.
struct view_query
{
    endpoint replica;
    duration timeout{};

    friend bool operator==(const view_query&, const view_query&) = default;
};

//! Remembers who has which version. One query is under way at a time. Not
//! thread-safe.
class view_fetch
{
public:
    explicit view_fetch(view_fetch_options options = {}) noexcept;

    //! A replica has said that it has applied this version.
    void heard(const endpoint& replica, version_number version);

    //! @return the query to send, if a replica has more than `known` and no
    //! query is under way; it then counts as under way.
    std::optional<view_query> take(version_number known);

    //! The query has brought a view.
    void arrived() noexcept;

    //! The query has brought none: its replica is asked again only once it has
    //! been heard again, and the next query may take twice as long.
    void failed();

private:
    const view_fetch_options options_;
    std::map<endpoint, version_number> versions_;
    duration timeout_;
    std::optional<endpoint> asked_; //!< while a query is under way
};

} // namespace lagoonquay
