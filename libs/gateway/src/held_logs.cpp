#include "held_logs.hpp"

namespace masticgrade {

void held_logs::add(const log_holder& holder, const instance_status& status, time_point asked_at) {
    const auto known = logs_.find(holder);
    const bool is_unchanged = known != logs_.end() && known->second.position == status.received;
    const auto since = is_unchanged ? known->second.since : asked_at;
    round_.insert_or_assign(holder, held_log{status.received, since});
}

std::optional<log_index> held_logs::position_of(const log_holder& holder) const {
    const auto found = logs_.find(holder);
    return found == logs_.end() ? std::nullopt : std::optional{found->second.position};
}

bool held_logs::is_confirmed(const log_holder& holder, time_point read_at) const {
    const auto found = logs_.find(holder);
    return found != logs_.end() && read_at - found->second.since >= entry_lifetime_;
}

}  // namespace masticgrade
