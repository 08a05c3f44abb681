#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "masticgrade/base/time.hpp"

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
    /// Number of the group's other instances that answered this host, asked after the hosts.
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

/// A host that reaches replicas but no other hosts replaces the primary after this time. As long as
/// failed hosts are still asked. With 1 s to detect the failure, 0.5 s for a round of
/// questions, 3.3 s until unreachable hosts have stopped using the primary and 1 s for the
/// promotion call, the group has a primary again within 7 s.
inline constexpr milliseconds inconclusive_limit{900};

/// Judges a primary that this host finds dead, in one or more rounds of questions.
///
/// The replies of other hosts rarely say anything about the primary, since most hosts never
/// exchange messages with it. But they show that this host is neither cut off nor slow, so that its
/// own failed probes count. At least half of the hosts that were asked must reply, since those that
/// failed together with the primary don't. Without an answer from a replica nothing is concluded:
/// no promotion would be possible.
///
/// Thread safety: none.
class primary_suspicion {
public:
    /// Call at the end of each round.
    primary_verdict assess(const primary_inquiry& inquiry, time_point now);
    /// The primary has answered, or is no longer the primary.
    void clear() { isolated_since_.reset(); }

private:
    /// End of the first of the consecutive rounds in which replicas answered but too few hosts. Not
    /// its start: over a full link, a single round can take longer than the limit.
    std::optional<time_point> isolated_since_;
};

}  // namespace masticgrade
