//! Settings of one process, from its INI file.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/version/ini_file.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonquay
{

//! What every program reads.
struct process_settings
{
    std::string id;
    domain_id domain;
    std::size_t threads = 2;
    log_options log;
    endpoint operators;            //!< listener for operators
    std::string operator_token;    //!< required bearer token
    std::vector<endpoint> control; //!< every control replica
};

struct entry_settings
{
    process_settings process;
    endpoint callers;                   //!< listener for callers
    endpoint peers;                     //!< listener for other entries
    std::vector<endpoint> ledger_peers; //!< the other ledger replicas
};

struct agent_settings
{
    process_settings process;
    endpoint entries;  //!< listener for links of entries
    endpoint upstream; //!< listener for the upstream's announcements
};

struct control_settings
{
    process_settings process;
    endpoint members; //!< listener for heartbeats and other replicas
    std::string data_folder;
    bool bootstrap = false; //!< operators start a new cluster
};

//! Each reads and checks a whole file.
//! @return the settings, or bad_settings with file, section and key.
process_result<entry_settings> load_entry_settings(const std::string& path);
process_result<agent_settings> load_agent_settings(const std::string& path);
process_result<control_settings> load_control_settings(const std::string& path);

} // namespace lagoonquay
