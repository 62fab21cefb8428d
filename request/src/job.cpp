#include "lagoonquay/request/job.hpp"

#include "lagoonquay/request/job_codec.hpp"
#include "lagoonquay/request/stable_hash.hpp"

namespace lagoonquay
{

content_digest digest_of(const job& submitted)
{
    const auto anonymous = submitted.with(
        [](job_options& it)
        {
            it.submission = submission_id();
            it.service = service_id();
            it.priority = 0;
            if (it.dated)
                return;
            it.created = {};
            it.time_limit = {};
        });
    return content_digest(
        stable_hash(stable_hash_start, encode_job(anonymous)));
}

} // namespace lagoonquay
