//! Errors of the process layer.
#pragma once

#include "lagoonquay/request/error.hpp"

namespace lagoonquay
{

//! What can go wrong with a process as a whole.
enum class process_errc
{
    bad_settings, //!< the settings file is missing or not valid
    bad_listen,   //!< a listener could not be opened
    storage,      //!< the data folder is not usable
};

template <typename T>
using process_result = layer_result<T, process_errc>;

//! Exit codes of the programs.
enum class exit_code : int
{
    ok = 0,
    failed = 1,
    usage = 2,        //!< command line
    bad_settings = 3, //!< settings file
    conflict = 4,     //!< another version is in force than expected
    no_answer = 5,    //!< no answer; the change may have been made
    unauthorized = 6, //!< bearer token
};

} // namespace lagoonquay
