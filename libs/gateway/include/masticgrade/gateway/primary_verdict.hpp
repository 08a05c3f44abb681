#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Another host's reply to the question whether a primary is alive.
struct primary_reply {
    /// The recipient uses the instance as the primary, and it has answered.
    bool alive = false;
    /// Time since the last answer.
    milliseconds age{0};

    friend bool operator==(const primary_reply&, const primary_reply&) = default;
};

/// One entry for each host that was asked; empty if it did not reply in time.
using primary_replies = std::vector<std::optional<primary_reply>>;

/// What this host learned about a primary that it does not reach.
struct primary_inquiry {
    primary_replies replies;
    /// Number of the group's other instances that answered this host, if only with a refusal. They
    /// are asked after the hosts.
    std::size_t replicas_answered = 0;

    [[nodiscard]] std::size_t asked() const { return replies.size(); }
    [[nodiscard]] std::size_t replied() const;
    /// The smallest age of an answer from the primary, if a host reports one.
    [[nodiscard]] std::optional<milliseconds> newest_answer_age() const;
    /// Whether a host reports an answer of at most `recent_answer_age`.
    [[nodiscard]] bool reports_alive() const;
};

enum class primary_verdict {
    /// Another host has just received an answer from the primary.
    alive,
    /// This host exchanges messages with hosts and replicas, and none of them reaches the primary.
    confirmed_dead,
    /// This host itself may be cut off or slow.
    inconclusive,
    /// This host reaches replicas but no other hosts, and has waited for `inconclusive_limit`.
    presumed_dead,
};

std::string_view to_string(primary_verdict verdict) noexcept;

/// Whether the primary may be replaced. Thread safety: reentrant.
constexpr bool permits_failover(primary_verdict verdict) noexcept {
    return verdict == primary_verdict::confirmed_dead || verdict == primary_verdict::presumed_dead;
}

/// A primary that answered another host this recently is alive. Shorter than the time in which a
/// failure is detected, so that answers from before the failure don't count.
inline constexpr milliseconds recent_answer_age{400};

/// A host that reaches replicas but too few other hosts replaces the primary at the end of the
/// first round that ends at least this long after its first one. A round takes at most 0.75 s
/// (0.25 s for hosts, 0.5 s for instances) and the next one starts 0.1 s later, so the last one
/// ends within 1.6 s. With 1 s to detect the failure, 3.3 s until unreachable hosts have stopped
/// using the primary and 1 s for the promotion call, the sum is 6.9 s.
inline constexpr milliseconds inconclusive_limit{500};

/// Judges a primary that this host finds dead, in one or more rounds of questions.
///
/// A host can vouch for a primary that has just answered it, on its own connections or through
/// those of the pool owner. The replies of hosts that have not just used the primary say nothing
/// about it. But they show that this host is neither cut off nor slow, so that its
/// own failed probes count. At least half of the hosts that were asked must reply, since those that
/// failed together with the primary don't. Without an answer from a replica nothing is concluded:
/// no promotion would be possible.
///
/// Thread safety: none.
class primary_suspicion {
public:
    /// Call at the end of each round. `primary` is the instance that the inquiry is about; empty if
    /// the group has no primary.
    primary_verdict assess(const std::optional<instance_id>& primary,
                           const primary_inquiry& inquiry, time_point now);
    /// The primary has answered, or an attempt to replace it has begun.
    void clear() { isolated_since_.reset(); }
    /// Whether replicas answered in the last round but too few hosts.
    [[nodiscard]] bool is_isolated() const { return isolated_since_.has_value(); }

private:
    /// The instance of the last round.
    std::optional<instance_id> primary_;
    /// End of the first of the consecutive rounds in which replicas answered but too few hosts. Not
    /// its start: over a full link, a single round can take longer than the limit.
    std::optional<time_point> isolated_since_;
};

}  // namespace masticgrade
