#include "message_delays.hpp"

#include <algorithm>

namespace masticgrade {

bool message_delays::is_known(const host_id& sender, incarnation_number incarnation) const {
    const auto found = senders_.find(sender);
    return found != senders_.end() && found->second.incarnation == incarnation;
}

void message_delays::learn(const host_id& sender, incarnation_number incarnation,
                           milliseconds sender_uptime, boot_time asked_at, boot_time now) {
    if (now - asked_at > longest_round_trip) {
        return;
    }
    senders_[sender] = {incarnation, now.time_since_epoch() - sender_uptime};
}

bool message_delays::is_late(const host_id& sender, incarnation_number incarnation,
                             milliseconds sender_uptime, boot_time now) const {
    if (!is_known(sender, incarnation)) {
        return true;
    }
    const auto& known = senders_.at(sender);
    return now.time_since_epoch() - sender_uptime - known.least > late_limit;
}

}  // namespace masticgrade
