#include "lagoonquay/request/job.hpp"

#include "lagoonquay/request/job_codec.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

} // namespace

// std::hash may differ between builds, and the digest is compared between
// processes; FNV-1a is the same everywhere.
content_digest digest_of(const job& submitted)
{
    const auto anonymous = submitted.with(
        [](job_options& it)
        {
            it.submission = submission_id();
            if (it.dated)
                return;
            it.created = {};
            it.time_limit = {};
        });
    std::uint64_t hash = fnv_offset;
    for (const char byte : encode_job(anonymous))
    {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return content_digest(hash);
}

} // namespace lagoonquay
