#include "masticgrade/usage/operation_counter.hpp"

#include <algorithm>
#include <utility>

namespace masticgrade {

void operation_counter::count(const customer_id& customer, wall_time began_at) {
    auto& entry = windows_[window_at(began_at, window_length_)][customer];
    ++entry.count;
    entry.revision = ++revision_;
}

usage_update operation_counter::next_update(const host_id& collector, wall_time now) {
    forget_old_windows(now);
    const auto known = acknowledged_.find(collector);
    const auto base = known == acknowledged_.end() ? acknowledgement{} : known->second;
    usage_update result;
    result.base_incarnation = base.incarnation;
    result.base_revision = base.revision;
    result.revision = revision_;
    result.taken_at = now;
    for (const auto& [window, customers] : windows_) {
        window_usage changed{window, {}};
        for (const auto& [customer, entry] : customers) {
            if (entry.revision > base.revision) {
                changed.counts.emplace(customer, entry.count);
            }
        }
        if (!changed.counts.empty()) {
            result.windows.push_back(std::move(changed));
        }
    }
    return result;
}

void operation_counter::on_acknowledged(const host_id& collector, incarnation_number incarnation,
                                        std::uint64_t revision) {
    const auto [entry, added] =
        acknowledged_.try_emplace(collector, acknowledgement{incarnation, revision});
    if (added) {
        return;
    }
    auto& known = entry->second;
    // A restarted collector has received only the last changes and needs all totals.
    known = known.incarnation == incarnation
                ? acknowledgement{incarnation, std::max(known.revision, revision)}
                : acknowledgement{incarnation, 0};
}

void operation_counter::keep_collectors(const std::set<host_id>& collectors) {
    std::erase_if(acknowledged_,
                  [&](const auto& entry) { return !collectors.contains(entry.first); });
}

void operation_counter::forget_old_windows(wall_time now) {
    while (!windows_.empty() && end_of(windows_.begin()->first, window_length_) + retention < now) {
        windows_.erase(windows_.begin());
    }
}

}  // namespace masticgrade
