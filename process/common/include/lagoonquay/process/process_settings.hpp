//! Settings of one process, from its INI file.
#pragma once

#include "lagoonquay/connection/endpoint.hpp"
#include "lagoonquay/process/error.hpp"
#include "lagoonquay/process/log.hpp"
#include "lagoonquay/request/ids.hpp"
#include "lagoonquay/request/job_codec.hpp"
#include "lagoonquay/request/time.hpp"
#include "lagoonquay/version/ini_file.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonquay
{

//! Limits on what may arrive at a listener.
struct listener_limits
{
    std::size_t body_bytes = 32UL * 1024 * 1024;
    std::uint32_t header_bytes = 8192;
    std::size_t connections = 1024;
    //! At all listeners together; zero for three quarters of the descriptors
    //! that the process may open.
    std::size_t process_connections = 0;
    //! At all listeners together, of requests that arrive and answers that are
    //! not taken yet.
    std::size_t buffered_bytes = 64UL * 1024 * 1024;
    duration idle_timeout = std::chrono::seconds(60);
    duration read_timeout = std::chrono::seconds(10);

    friend bool operator==(const listener_limits&,
                           const listener_limits&) = default;
};

//! What every program reads.
struct process_settings
{
    std::string source; //!< file that they were read from
    std::string id;
    domain_id domain;
    std::size_t threads = 2;
    log_options log;
    endpoint operators;            //!< listener for operators
    std::string operator_token;    //!< required bearer token
    std::vector<endpoint> control; //!< every control replica
    listener_limits limits;        //!< of each listener

    friend bool operator==(const process_settings&,
                           const process_settings&) = default;
};

struct entry_settings
{
    process_settings process;
    endpoint callers; //!< listener for callers
    //! How long every job is taken after a stop signal.
    duration drain_notice{};
    //! Time after a stop signal by which jobs taken after the notice end.
    duration drain_job_end{};
    //! Time after a stop signal by which every job has an answer; zero for
    //! none.
    duration drain_end{};
    endpoint peers;                     //!< listener for other entries
    std::vector<endpoint> ledger_peers; //!< the other ledger replicas
    job_limits jobs;
    duration claim_lease = std::chrono::seconds(5);
    duration claim_margin = std::chrono::milliseconds(250);
    duration clock_skew = std::chrono::milliseconds(500);
    duration oldest_submission = std::chrono::minutes(5);
    duration answer_retention = std::chrono::minutes(1);
    duration claim_retention = std::chrono::minutes(10);

    friend bool operator==(const entry_settings&,
                           const entry_settings&) = default;
};

struct agent_settings
{
    process_settings process;
    endpoint entries;  //!< listener for links of entries
    endpoint upstream; //!< listener for the upstream's announcements
    std::size_t answer_bytes = 1024UL * 1024; //!< most in an upstream's answer
    duration upstream_silence = std::chrono::seconds(2);
    duration record_retention = std::chrono::minutes(10);

    friend bool operator==(const agent_settings&,
                           const agent_settings&) = default;
};

struct control_settings
{
    process_settings process;
    endpoint members; //!< listener for heartbeats and other replicas
    std::string data_folder;
    bool bootstrap = false; //!< operators start a new cluster

    friend bool operator==(const control_settings&,
                           const control_settings&) = default;
};

//! @return the bearer token in the first line of a file, or bad_settings.
process_result<std::string> read_token_file(const std::string& path);

//! Opens a settings file. @return the file, or bad_settings.
process_result<ini_file> open_settings(const std::string& path);

//! @return success, or bad_settings with the first error of the file, which
//! may be a section or key that was not read.
process_result<void> finish_settings(ini_file& file);

//! Each reads the sections of one kind of process; errors stay in the file.
entry_settings read_entry_settings(ini_file& file);
agent_settings read_agent_settings(ini_file& file);
control_settings read_control_settings(ini_file& file);

//! Each reads and checks a whole file.
//! @return the settings, or bad_settings with file, section and key.
process_result<entry_settings> load_entry_settings(const std::string& path);
process_result<agent_settings> load_agent_settings(const std::string& path);
process_result<control_settings> load_control_settings(const std::string& path);

} // namespace lagoonquay
