#include "lagoonquay/process/member_table.hpp"

namespace lagoonquay
{

namespace
{

constexpr std::size_t most_gone = 1000;

} // namespace

member_table::member_table(incarnation life) noexcept : life_(life)
{
}

// The revision is drawn under the shard's lock: who reads the counter first and
// the shard then sees every change up to what it read.
bool member_table::note(const member_report& report, instant now)
{
    bool fresh = false;
    members_.with_shard(
        report.about->id,
        [&](auto& values)
        {
            auto& known = values[report.about->id];
            const bool same =
                known.changed != 0 && known.report.about == report.about;
            fresh = known.changed == 0 ||
                    known.report.about->run != report.about->run;
            if (!same)
                known.changed = ++revision_;
            known.report = report;
            known.heard = now;
        });
    return fresh;
}

std::vector<member> member_table::forget_silent(duration silence, instant now)
{
    std::vector<member> lost;
    members_.for_each_shard(
        [&](auto& values)
        {
            std::erase_if(values,
                          [&](const auto& each)
                          {
                              const auto& it = each.second;
                              if (now - it.heard <= silence)
                                  return false;
                              lost.push_back(it.report.about);
                              return true;
                          });
        });
    note_gone(lost);
    return lost;
}

std::vector<member_report> member_table::reports()
{
    std::vector<member_report> found;
    members_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
                found.push_back(it.report);
        });
    return found;
}

member_changes member_table::since(const members_mark& known)
{
    member_changes changes;
    changes.mark.life = life_;
    {
        const std::lock_guard lock(gone_mutex_);
        changes.mark.revision = revision_;
        changes.whole = known.life != life_ || known.revision < gone_forgotten_;
        for (const auto& it : gone_)
        {
            if (!changes.whole && it.revision > known.revision)
                changes.gone.push_back(it.id);
        }
    }
    const auto from = changes.whole ? 0 : known.revision;
    if (from == changes.mark.revision)
        return changes;
    members_.for_each_shard(
        [&](auto& values)
        {
            for (const auto& [id, it] : values)
            {
                if (it.changed <= from)
                    continue;
                const auto& about = it.report.about;
                auto& target = about->role == member_role::agent
                                   ? changes.agents
                                   : changes.entries;
                target.push_back(about);
            }
        });
    return changes;
}

void member_table::note_gone(const std::vector<member>& lost)
{
    const std::lock_guard lock(gone_mutex_);
    for (const auto& it : lost)
        gone_.push_back({++revision_, it->id});
    while (gone_.size() > most_gone)
    {
        gone_forgotten_ = gone_.front().revision;
        gone_.pop_front();
    }
}

} // namespace lagoonquay
