//! The stop of an entry: from the signal to the moment when nothing is left.
#pragma once

#include "lagoonquay/process/stop_plan.hpp"

namespace lagoonquay
{

class entry_service;
class http_server;

//! What a stopping entry serves.
struct stopping_entry
{
    entry_service& service;
    http_server& callers;
    http_server& peers;
};

//! Reports not ready, takes jobs as the plan allows, and blocks until every job
//! is answered and every response is written.
void drain_entry(const stopping_entry& entry, const stop_plan& plan);

} // namespace lagoonquay
