#include "message_delays.hpp"

#include <algorithm>

namespace masticgrade {

void message_delays::note(const host_id& sender, incarnation_number incarnation,
                          milliseconds sender_uptime, boot_time now) {
    const auto difference = now.time_since_epoch() - sender_uptime;
    auto [found, added] = senders_.try_emplace(sender);
    auto& state = found->second;
    if (added || state.incarnation != incarnation) {
        state = {incarnation, now, difference};
    } else {
        state.least = std::min(state.least, difference);
    }
}

bool message_delays::is_late(const host_id& sender, incarnation_number incarnation,
                             milliseconds sender_uptime, boot_time now) const {
    const auto found = senders_.find(sender);
    if (found == senders_.end() || found->second.incarnation != incarnation ||
        now - found->second.known_since < learning_time) {
        return true;
    }
    return now.time_since_epoch() - sender_uptime - found->second.least > late_limit;
}

}  // namespace masticgrade
