#include "held_logs.hpp"

namespace masticgrade {

void held_logs::add(const log_holder& holder, const instance_status& status,
                    boot_time answered_at) {
    const auto known = logs_.find(holder);
    const bool is_unchanged = known != logs_.end() && known->second.position == status.received;
    const auto since = is_unchanged ? known->second.since : answered_at;
    round_.insert_or_assign(holder, held_log{status.received, since});
}

std::optional<log_index> held_logs::position_of(const log_holder& holder) const {
    const auto found = logs_.find(holder);
    return found == logs_.end() ? std::nullopt : std::optional{found->second.position};
}

bool held_logs::is_confirmed(const log_holder& holder, const entry_history& entries) const {
    const auto found = logs_.find(holder);
    return found != logs_.end() && entries.has_run_after(holder, found->second.since);
}

bool held_logs::is_confirmed_by_writes(const log_holder& holder,
                                       const entry_history& entries) const {
    const auto found = logs_.find(holder);
    return found != logs_.end() && entries.has_written_after(holder, found->second.since);
}

}  // namespace masticgrade
