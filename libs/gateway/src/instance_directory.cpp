#include "instance_directory.hpp"

#include <set>

#include "masticgrade/base/event_log.hpp"

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
        if (is_set_back(entry)) {
            event_line{"entry_set_back"}
                .field("instance", entry.id)
                .field("sequence", entry.sequence)
                .write();
            if (const auto found = entries_.find(entry.id); found != entries_.end()) {
                listed.insert(entry.id);
                found->second.missing_since.reset();
            }
            continue;
        }
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
        const bool is_gone = missing_since && now - *missing_since > missing_grace;
        if (is_gone) {
            removed_[item.first] = {item.second.entry, now};
        }
        return is_gone;
    });
    std::erase_if(removed_, [&](const auto& item) {
        return now - *item.second.missing_since > removed_entry_lifetime;
    });
    loaded_ = true;
}

bool instance_directory::is_set_back(const instance_entry& entry) const {
    const auto is_older = [&](const std::map<instance_id, tracked_entry>& known) {
        const auto found = known.find(entry.id);
        return found != known.end() && found->second.entry.start_time == entry.start_time &&
               entry.sequence < found->second.entry.sequence;
    };
    return is_older(entries_) || is_older(removed_);
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
