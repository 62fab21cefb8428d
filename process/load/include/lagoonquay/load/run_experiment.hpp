//! Runs one experiment against a fleet that is up.
#pragma once

#include "lagoonquay/load/experiment.hpp"
#include "lagoonquay/load/run_result.hpp"

#include <string>

namespace lagoonquay::load
{

struct run_options
{
    std::string folder; //!< of the fleet: process ids and start records
    std::string run;    //!< prefix of the submission ids
    bool progress = true;

    friend bool operator==(const run_options&, const run_options&) = default;
};

//! Blocks until every job is answered. @return the result, or failed if the
//! fleet does not get ready.
process_result<run_result> run_experiment(const experiment& it,
                                          const run_options& options);

} // namespace lagoonquay::load
