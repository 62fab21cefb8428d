//! Map in shards, each under its own lock.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lagoonquay
{

//! Shards of each map of a process.
constexpr std::size_t shard_count = 16;

//! Thread-safe. A callback runs under the lock of one shard: it must be short
//! and must not use any sharded map.
template <typename Key, typename Value>
class sharded_map
{
public:
    using shard_map = std::unordered_map<Key, Value>;

    //! Calls `use` with the whole shard that holds `key`.
    template <typename Use>
    auto with_shard(const Key& key, Use use)
    {
        auto& target = shard_of(key);
        const std::lock_guard lock(target.mutex);
        return use(target.values);
    }

    //! Calls `use` with the value of `key`, or with nullptr.
    template <typename Use>
    auto with(const Key& key, Use use)
    {
        return with_shard(key,
                          [&](shard_map& values)
                          {
                              const auto it = values.find(key);
                              return use(it == values.end() ? nullptr
                                                            : &it->second);
                          });
    }

    //! Calls `use` with each shard in turn, one lock at a time.
    template <typename Use>
    void for_each_shard(Use use)
    {
        for (auto& it : shards_)
        {
            const std::lock_guard lock(it.mutex);
            use(it.values);
        }
    }

    //! @return the number of values; a snapshot per shard.
    std::size_t size()
    {
        std::size_t total = 0;
        for_each_shard([&](const shard_map& it) { total += it.size(); });
        return total;
    }

private:
    struct shard
    {
        std::mutex mutex;
        shard_map values;
    };

    shard& shard_of(const Key& key)
    {
        return shards_[std::hash<Key>()(key) % shard_count];
    }

    std::array<shard, shard_count> shards_;
};

} // namespace lagoonquay
