#pragma once

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/acknowledged_positions.hpp"
#include "masticgrade/gateway/counted_log.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// A replica that may be promoted.
struct promotion_candidate {
    instance_id id;
    /// The status returned by a hold request for the promotion's term, if the replica answered.
    std::optional<instance_status> held;
    /// Shutting down, or in an evacuated failure domain.
    bool is_draining = false;
};

struct promotion_choice {
    instance_id target;
    log_index position;
    /// The process that was held, see instance_entry::start_time; zero if unknown.
    std::int64_t start_time = 0;
};

/// Chooses a replica to promote without losing any acknowledged commit.
///
/// While every replica is held, none receives log entries, so no further commit is acknowledged if
/// that takes a replica, and the replica with the longest log has every acknowledged one. Returns
/// nullopt unless all `replicas` are held at `term`. Among replicas with equally long logs, those
/// that are not draining are preferred; a draining replica is preferred to one with a shorter log.
///
/// Thread safety: reentrant.
std::optional<promotion_choice> choose_promotion_target(
    const std::vector<promotion_candidate>& replicas, term_number term);

/// The logs that are not held while a replica is chosen.
struct unheld_logs {
    /// Number of replicas that may hold acknowledged commits and whose logs are unknown.
    std::size_t unknown_replicas = 0;
    /// Whether the old primary's log is unknown.
    bool primary_is_unknown = false;
    /// The end of the old primary's log, if it has confirmed that it no longer leads.
    std::optional<log_index> former_primary = {};
    /// The end of the longest held log that cannot be promoted, if any.
    std::optional<log_index> longest_unlisted = {};
    /// Replicas that have received a commit when it is acknowledged.
    std::size_t sync_replicas = 1;
    /// The logs of all known processes, those of the held replicas included.
    std::vector<counted_log> logs = {};
};

/// What shows that a target has every acknowledged commit.
enum class promotion_proof {
    /// No replica has received a commit when it is acknowledged, so nothing is promised.
    not_needed,
    /// The target has all of the old primary's log, which no longer grows.
    primary_log,
    /// The log reaches everything that any host may have acknowledged.
    acknowledgements,
};

/// Why an attempt promotes nothing.
enum class promotion_refusal {
    /// A listed replica could not be held.
    replicas_not_held,
    /// Another promotion has finished.
    superseded,
    /// The primary has started again with its log, and leads.
    primary_returned,
    /// A planned failover found no target that stays.
    target_draining,
    /// The target certainly lacks an acknowledged commit.
    acknowledged_commit_missing,
    /// A running instance that is not in the directory has a longer log. Commits that it has
    /// received
    /// may have been acknowledged by answers that are still under way.
    longer_log_unlisted,
    /// A host has seen another replica's log end beyond the target's, and the acknowledged commits
    /// are not known to end before.
    replicated_commit_missing,
    /// As `acknowledged_commit_missing` or `replicated_commit_missing`, as known to an earlier
    /// attempt.
    required_commit_missing,
    /// The end of the old primary's log is unknown, and so is what hosts have acknowledged.
    acknowledgements_unknown,
    /// Hosts may have acknowledged commits beyond the target's log.
    position_not_reached,
};

using target_verdict = std::variant<promotion_proof, promotion_refusal>;

/// Names in logs and metrics. Thread safety: reentrant.
std::string_view to_string(promotion_proof proof) noexcept;
std::string_view to_string(promotion_refusal refusal) noexcept;

/// Whether a replica whose log ends at `position`, the longest of the held replicas' logs, may be
/// promoted.
///
/// Two things prove that it has every acknowledged commit: it has all of the old primary's log, or
/// it reaches everything that any host may have acknowledged. The other replicas prove nothing,
/// however many of them are held: a commit is acknowledged when some replica has received it, and
/// one that has just joined receives before any host or row of the store names it.
///
/// A target that certainly lacks an acknowledged commit is refused, also if the old primary's log
/// seems to end before it: that log may have been replaced by an empty one without this host's
/// knowledge. With no synchronous replica, commits are acknowledged before any replica has them,
/// and every position is sufficient. Logs are compared by term first: one that ends in an earlier
/// term lacks the commits of the later one, whatever its length. Thread safety: reentrant.
target_verdict assess_target(log_index position, const unheld_logs& others,
                             const census_result& acknowledged);

/// The end that the log of a target needs at least, as known from what hosts have acknowledged and
/// seen. Empty if nothing is known. Thread safety: reentrant.
std::optional<log_index> least_target_position(const census_result& acknowledged);

/// Delay before a host of the given rank starts a failover, so that hosts that detect the same
/// failure don't all start at once. Zero for rank 0.
milliseconds takeover_delay(std::size_t rank) noexcept;

/// The rank of `self` among `hosts` in an order that depends on `group` and is the same on every
/// host.
std::size_t failover_rank(const group_id& group, const host_id& self,
                          const std::vector<host_id>& hosts);

/// Up to `count` of `hosts`, those with the lowest ranks in the order of `failover_rank`.
std::vector<host_id> highest_ranked_hosts(const group_id& group, std::vector<host_id> hosts,
                                          std::size_t count);

}  // namespace masticgrade
