#pragma once

#include <map>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Tells messages that were held up on their way, in a network partition or in the socket of a
/// suspended host, from fresh ones. The steady difference between a sender's age and the local
/// clock is learnt from answers that came at once; a message is late by what it exceeds the least
/// difference known. Thread safety: none.
class message_delay_estimator {
public:
    /// A held-up statement must not run after its caller's key was withdrawn: this is the part of
    /// the 5 s bound that is left beside the lifetime of a configuration proof.
    static constexpr milliseconds max_delay{300};

    /// An answer teaches when it came within this time of its question.
    static constexpr milliseconds max_round_trip{200};

    [[nodiscard]] bool is_known(const host_id& sender, incarnation_number incarnation) const;
    /// Takes the answer to a question that was asked at `asked_at`; `sender_uptime` is the age of
    /// the sender when it answered.
    void learn(const host_id& sender, incarnation_number incarnation, milliseconds sender_uptime,
               boot_time asked_at, boot_time now);
    /// Whether the message is late, or nothing is known of its sender yet.
    [[nodiscard]] bool is_late(const host_id& sender, incarnation_number incarnation,
                               milliseconds sender_uptime, boot_time now) const;

private:
    struct sender_state {
        incarnation_number incarnation;
        boot_clock::duration least{};
    };
    std::map<host_id, sender_state> senders_;
};

}  // namespace masticgrade
