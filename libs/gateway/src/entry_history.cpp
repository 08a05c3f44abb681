#include "entry_history.hpp"

#include <algorithm>

namespace masticgrade {

void entry_history::on_read(const std::vector<instance_entry>& entries, boot_time sent_at) {
    const bool is_unbroken = last_read_ && sent_at - *last_read_ < entry_lifetime_;
    std::map<process_key, entry_state> shown;
    for (const auto& entry : entries) {
        const process_key key{entry.id, entry.start_time};
        entry_state state{entry, std::nullopt, std::nullopt, sent_at, sent_at};
        if (const auto found = entries_.find(key); found != entries_.end()) {
            const auto& known = found->second;
            if (entry.sequence < known.entry.sequence) {
                // A copy that the store was restored from, which shows nothing about the present.
                shown.insert(*found);
                continue;
            }
            state.written_after = known.written_after;
            state.previously_written_after = known.previously_written_after;
            if (entry.sequence > known.entry.sequence) {
                state.previously_written_after = known.written_after;
                state.written_after = known.shown_at;
                auto unchanged = known.entry;
                unchanged.sequence = entry.sequence;
                shows_writes_ = shows_writes_ || unchanged == entry;
            }
            if (is_unbroken && known.shown_at == last_read_) {
                state.shown_since = known.shown_since;
            }
        }
        shown.emplace(key, state);
    }
    entries_ = std::move(shown);
    last_read_ = sent_at;
}

bool entry_history::has_written_after(const log_holder& process, boot_time moment) const {
    const auto found = entries_.find({process.instance, process.start_time});
    // Without start times, a write of a later process could not be told apart.
    return found != entries_.end() && process.start_time != 0 &&
           found->second.previously_written_after &&
           *found->second.previously_written_after > moment;
}

bool entry_history::has_run_after(const log_holder& process, boot_time moment) const {
    const auto found = entries_.find({process.instance, process.start_time});
    if (found == entries_.end()) {
        return false;
    }
    if (has_written_after(process, moment)) {
        return true;
    }
    const auto& state = found->second;
    const bool is_last_read = last_read_ == state.shown_at;
    return !shows_writes_ && is_last_read &&
           state.shown_at - std::max(state.shown_since, moment) >= entry_lifetime_;
}

}  // namespace masticgrade
