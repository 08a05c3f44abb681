#include "instance_directory.hpp"

#include <set>

namespace masticgrade {

void instance_directory::apply(const std::vector<instance_entry>& entries, boot_time now) {
    if (outage_) {
        for (auto& [id, tracked] : entries_) {
            tracked.missing_since.reset();
        }
        outage_ = false;
    }
    std::set<instance_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        entries_[entry.id] = {entry, std::nullopt};
    }
    for (auto& [id, tracked] : entries_) {
        if (!listed.contains(id) && !tracked.missing_since) {
            tracked.missing_since = now;
        }
    }
    std::erase_if(entries_, [&](const auto& item) {
        const auto& missing_since = item.second.missing_since;
        return missing_since && now - *missing_since > missing_grace;
    });
    loaded_ = true;
}

std::vector<instance_entry> instance_directory::entries_of(const group_id& group) const {
    std::vector<instance_entry> result;
    for (const auto& [id, tracked] : entries_) {
        if (tracked.entry.group == group) {
            result.push_back(tracked.entry);
        }
    }
    return result;
}

}  // namespace masticgrade
