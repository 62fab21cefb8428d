#include "lagoonquay/request/answer.hpp"

namespace lagoonquay
{

std::string_view to_text(effect value) noexcept
{
    switch (value)
    {
    case effect::not_run:
        return "not_run";
    case effect::unknown:
        return "unknown";
    case effect::ran:
        return "ran";
    }
    return "unknown";
}

std::string_view to_text(failure_reason value) noexcept
{
    switch (value)
    {
    case failure_reason::none:
        return "none";
    case failure_reason::draining:
        return "draining";
    case failure_reason::overloaded:
        return "overloaded";
    case failure_reason::quota:
        return "quota";
    case failure_reason::no_permit:
        return "no_permit";
    case failure_reason::impossible_need:
        return "impossible_need";
    case failure_reason::deadline:
        return "deadline";
    case failure_reason::cancelled:
        return "cancelled";
    case failure_reason::upstream_failed:
        return "upstream_failed";
    case failure_reason::upstream_unreachable:
        return "upstream_unreachable";
    case failure_reason::link_lost:
        return "link_lost";
    case failure_reason::ledger_unavailable:
        return "ledger_unavailable";
    case failure_reason::fenced:
        return "fenced";
    case failure_reason::expired:
        return "expired";
    case failure_reason::content_mismatch:
        return "content_mismatch";
    case failure_reason::claim_lost:
        return "claim_lost";
    case failure_reason::not_startable:
        return "not_startable";
    case failure_reason::no_room:
        return "no_room";
    case failure_reason::already_failed:
        return "already_failed";
    }
    return "none";
}

bool succeeded(const task_result& result) noexcept
{
    return result->reason == failure_reason::none;
}

bool succeeded(const job_answer& answer) noexcept
{
    return answer->reason == failure_reason::none;
}

job_answer refusal(const submission_id& submission, failure_reason reason,
                   effect ran, std::string detail)
{
    return job_answer({.submission = submission,
                       .reason = reason,
                       .ran = ran,
                       .detail = std::move(detail),
                       .results = {},
                       .failures = {}});
}

} // namespace lagoonquay
