#include "lagoonquay/process/run_times.hpp"

#include <algorithm>

namespace lagoonquay
{

namespace
{

//! Weight of the newest run; the mean follows about the last ten.
constexpr double newest_run_weight = 0.1;

} // namespace

run_times::run_times(run_times_options options) : options_(options)
{
}

void run_times::observe(const std::string& kind, duration ran_for)
{
    update_kind(kind,
                [&](kind_statistics& it)
                {
                    ++it.runs;
                    const auto ran = static_cast<double>(ran_for.count());
                    const auto weight = std::max(
                        newest_run_weight, 1.0 / static_cast<double>(it.runs));
                    it.mean_us += weight * (ran - it.mean_us);
                    it.failure_rate -= newest_run_weight * it.failure_rate;
                });
}

void run_times::observe_failure(const std::string& kind)
{
    update_kind(
        kind, [](kind_statistics& it)
        { it.failure_rate += newest_run_weight * (1.0 - it.failure_rate); });
}

bool run_times::mostly_fails(const std::string& kind)
{
    return kinds_.with(kind, [](const kind_statistics* it)
                       { return it != nullptr && it->failure_rate > 0.5; });
}

// The table is bounded, because callers choose the names of kinds. Kinds beyond
// the bound keep their declared times; those in the table are still updated.
template <typename Change>
void run_times::update_kind(const std::string& kind, Change apply)
{
    kinds_.with_shard(kind,
                      [&](auto& values)
                      {
                          auto it = values.find(kind);
                          if (it == values.end())
                          {
                              if (size_ >= options_.max_kinds)
                                  return;
                              it =
                                  values.emplace(kind, kind_statistics()).first;
                              ++size_;
                          }
                          apply(it->second);
                      });
}

// Blends from the declared time to the measured one over the first runs.
duration run_times::expect(const std::string& kind, duration declared)
{
    const auto assumed =
        declared > duration::zero() ? declared : options_.default_run_time;
    return kinds_.with(
        kind,
        [&](const kind_statistics* it)
        {
            if (it == nullptr)
                return assumed;
            const auto trust = std::min(
                1.0, static_cast<double>(it->runs) /
                         static_cast<double>(options_.runs_until_trusted));
            const auto blended =
                trust * it->mean_us +
                (1.0 - trust) * static_cast<double>(assumed.count());
            return duration(static_cast<duration::rep>(blended));
        });
}

std::size_t run_times::kinds() const noexcept
{
    return size_;
}

} // namespace lagoonquay
