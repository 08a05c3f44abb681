#include "message_delay_estimator.hpp"

#include <algorithm>

namespace masticgrade {

bool message_delay_estimator::is_known(const host_id& sender,
                                       incarnation_number incarnation) const {
    const auto found = senders_.find(sender);
    return found != senders_.end() && found->second.incarnation == incarnation;
}

void message_delay_estimator::record_round_trip(const host_id& sender,
                                                incarnation_number incarnation,
                                                milliseconds sender_uptime, boot_time sent_at,
                                                boot_time now) {
    if (now - sent_at > max_round_trip) {
        return;
    }
    senders_[sender] = {incarnation, now.time_since_epoch() - sender_uptime};
}

bool message_delay_estimator::is_late(const host_id& sender, incarnation_number incarnation,
                                      milliseconds sender_uptime, boot_time now) const {
    if (!is_known(sender, incarnation)) {
        return true;
    }
    const auto& known = senders_.at(sender);
    return now.time_since_epoch() - sender_uptime - known.clock_offset > max_delay;
}

}  // namespace masticgrade
