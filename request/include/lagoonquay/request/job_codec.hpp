//! JSON encoding of jobs and answers, as docs/API.md describes it.
#pragma once

#include "lagoonquay/request/answer.hpp"
#include "lagoonquay/request/error.hpp"
#include "lagoonquay/request/job.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! Bounds on what a caller may submit.
struct job_limits
{
    std::size_t tasks = 1000;          //!< tasks in one job
    std::size_t payload_bytes = 65536; //!< bytes in one task's payload
    std::size_t id_bytes = 128;        //!< bytes in one id or kind
    duration longest_time_limit = std::chrono::minutes(10);
    duration default_time_limit = std::chrono::seconds(30);

    friend bool operator==(const job_limits&, const job_limits&) = default;
};

//! Decodes a submission.
//! @return the job, or malformed / out_of_range with the offending key.
request_result<job> decode_job(std::string_view text, const job_limits& limits);

//! Decodes a single request: a job of one task, whose members stand beside
//! those of the job. It must say whether it is idempotent.
//! @return the job, or malformed / out_of_range with the offending key.
request_result<job> decode_single_request(std::string_view text,
                                          const job_limits& limits);

//! Encodes a job as decode_job reads it.
std::string encode_job(const job& submitted);

//! Encodes an answer for the caller.
std::string encode_answer(const job_answer& answer);

//! Decodes an answer as encode_answer writes it.
//! @return the answer, or malformed / out_of_range with the offending key.
request_result<job_answer> decode_answer(std::string_view text);

} // namespace lagoonquay
