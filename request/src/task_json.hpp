//! JSON shape of tasks and results, shared by the codecs of this folder.
#pragma once

#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/job.hpp"
#include "lagoonquay/request/job_codec.hpp"

#include <boost/json.hpp>
#include <string>

namespace lagoonquay
{

class json_fields;

//! @return the JSON object of a task.
boost::json::object task_to_json(const task& work);

//! Reads a task; errors are recorded in `parent`.
task task_from_json(const boost::json::value& source, const std::string& where,
                    const job_limits& limits, json_fields& parent);

//! Reads the members of a task from an object that may hold others.
task read_task(json_fields& fields, const job_limits& limits);

//! @return the JSON object of resources.
boost::json::object resources_to_json(const resources& amounts);

//! Reads an optional object of resources.
resources resources_from_json(json_fields& parent, std::string_view key);

//! Reads the name of an enum's value; an unknown one is an error.
effect effect_from_json(json_fields& fields, std::string_view key);
failure_reason reason_from_json(json_fields& fields, std::string_view key);

//! @return the JSON object of a task's result.
boost::json::object result_to_json(const task_result& result);

//! Reads a task's result; errors are recorded in `parent`.
task_result result_from_json(const boost::json::value& source,
                             const std::string& where, json_fields& parent);

} // namespace lagoonquay
