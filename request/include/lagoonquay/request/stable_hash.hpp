//! A hash that is the same in every process and build, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonquay
{

constexpr std::uint64_t stable_hash_start = 14695981039346656037ULL;

//! @return the FNV-1a hash of what was hashed so far and the text.
constexpr std::uint64_t stable_hash(std::uint64_t so_far,
                                    std::string_view text) noexcept
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (const char it : text)
        so_far = (so_far ^ static_cast<unsigned char>(it)) * prime;
    return so_far;
}

//! @return the hash with every bit depending on all others, for comparisons.
constexpr std::uint64_t mix_hash(std::uint64_t hash) noexcept
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

} // namespace lagoonquay
