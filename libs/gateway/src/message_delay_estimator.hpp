#pragma once

#include <map>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Detects messages that were delayed in transit, by a network partition or in the socket buffer of
/// a suspended host. The offset between a sender's uptime and the local clock is measured with fast
/// round trips; the delay of a message is its own offset minus the measured one. Thread safety:
/// none.
class message_delay_estimator {
public:
    /// A delayed statement must not be executed after its caller's key was revoked. This is what
    /// the lifetime of a configuration proof leaves of the 5 s bound on revocation.
    static constexpr milliseconds max_delay{300};

    /// Slower round trips are not used as measurements.
    static constexpr milliseconds max_round_trip{200};

    [[nodiscard]] bool is_known(const host_id& sender, incarnation_number incarnation) const;
    /// Records a round trip that started at `sent_at` and ended at `now`. `sender_uptime` is the
    /// uptime of the other host when it answered.
    void record_round_trip(const host_id& sender, incarnation_number incarnation,
                           milliseconds sender_uptime, boot_time sent_at, boot_time now);
    /// Whether the message was delayed too long, or its sender's clock offset is not known yet.
    [[nodiscard]] bool is_late(const host_id& sender, incarnation_number incarnation,
                               milliseconds sender_uptime, boot_time now) const;

private:
    struct sender_state {
        incarnation_number incarnation;
        boot_clock::duration clock_offset{};
    };
    std::map<host_id, sender_state> senders_;
};

}  // namespace masticgrade
