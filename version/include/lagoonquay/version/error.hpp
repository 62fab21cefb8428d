//! Errors of the version layer.
#pragma once

#include "lagoonquay/request/error.hpp"

namespace lagoonquay
{

//! What can go wrong with versioned state.
enum class version_errc
{
    malformed,   //!< not decodable
    bad_setting, //!< a setting is unknown, missing or out of range
    corrupt,     //!< a stored record fails its checksum
    storage,     //!< the disk refused
    not_leader,  //!< another replica leads
    not_voting,  //!< this replica must not answer permit requests now
    conflict,    //!< the expected version is not the current one
};

template <typename T>
using version_result = layer_result<T, version_errc>;

} // namespace lagoonquay
