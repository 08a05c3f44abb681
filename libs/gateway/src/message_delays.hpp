#pragma once

#include <map>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Tells messages that were held up on their way, in a network partition or in the socket of a
/// suspended host, from fresh ones. The steady difference between a sender's age and the local
/// clock is learnt from its regular reports; a message is late by what it exceeds the least
/// difference seen. Thread safety: none.
class message_delays {
public:
    /// A held-up statement must not run after its caller's key was withdrawn: this is the part of
    /// the 5 s bound that is left beside the lifetime of a configuration proof.
    static constexpr milliseconds late_limit{300};

    static constexpr milliseconds learning_time{1500};

    void note(const host_id& sender, incarnation_number incarnation, milliseconds sender_uptime,
              boot_time now);
    /// Whether the message is late, or its sender has not been known for `learning_time`. Reports
    /// that a partition held up arrive together when it heals, so that the first ones teach nothing.
    [[nodiscard]] bool is_late(const host_id& sender, incarnation_number incarnation,
                               milliseconds sender_uptime, boot_time now) const;

private:
    struct sender_state {
        incarnation_number incarnation;
        boot_time known_since;
        boot_clock::duration least{};
    };
    std::map<host_id, sender_state> senders_;
};

}  // namespace masticgrade
