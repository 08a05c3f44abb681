#include "settled_members.hpp"

#include <algorithm>
#include <iterator>

namespace masticgrade {

void settled_members::on_members(const members& hosts, const host_process& self, time_point now) {
    current_.version = hosts.version;
    current_.processes.clear();
    for (const auto& [id, host] : hosts.hosts) {
        current_.processes.insert({id, host.incarnation});
    }
    std::erase_if(known_versions_,
                  [&](const auto& item) { return !current_.processes.contains(item.first); });
    on_members_version(self, hosts.version, now);
    record_if_all_aware(now);
}

bool settled_members::on_members_version(const host_process& holder, fleet_version version,
                                         time_point now) {
    if (!current_.processes.contains(holder)) {
        return false;
    }
    auto& known = known_versions_[holder];
    if (version <= known) {
        return false;
    }
    known = version;
    if (settles_at_.contains(current_.version)) {
        return false;
    }
    record_if_all_aware(now);
    return settles_at_.contains(current_.version);
}

void settled_members::record_if_all_aware(time_point now) {
    if (settles_at_.contains(current_.version) || !unaware_members().empty()) {
        return;
    }
    const auto settled_now = settled(now);
    std::erase_if(settles_at_, [&](const auto& item) { return item.first < settled_now; });
    const auto window = settings_.freshness_window;
    const auto margin = std::chrono::duration_cast<duration>(window * settings_.clock_drift_margin);
    settles_at_[current_.version] = now + window + margin;
}

fleet_version settled_members::settled(time_point now) const {
    for (auto item = settles_at_.rbegin(); item != settles_at_.rend(); ++item) {
        if (item->second <= now) {
            return item->first;
        }
    }
    return {};
}

std::vector<host_process> settled_members::unaware_members() const {
    std::vector<host_process> found;
    for (const auto& holder : current_.processes) {
        const auto known = known_versions_.find(holder);
        if (known == known_versions_.end() || known->second < current_.version) {
            found.push_back(holder);
        }
    }
    return found;
}

}  // namespace masticgrade
