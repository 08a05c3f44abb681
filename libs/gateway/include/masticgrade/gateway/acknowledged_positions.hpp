#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// Bounds of the newest commit that a process has acknowledged to its callers.
///
/// The position in an answer is the end of the primary's log, which may include commits of other
/// sessions that are not acknowledged yet. It is therefore only an upper bound for the commit that
/// was answered. The commit lies beyond every position of the same log seen before it was sent.
struct acknowledged_bounds {
    /// An acknowledged commit lies beyond this position.
    std::optional<log_index> beyond = {};
    /// No acknowledged commit lies beyond this position; empty if none was acknowledged.
    std::optional<log_index> up_to = {};

    friend bool operator==(const acknowledged_bounds&, const acknowledged_bounds&) = default;
};

/// Every commit acknowledged by any host before `moment` is at or below `position`.
struct dated_position {
    boot_time moment;
    log_index position;

    friend bool operator==(const dated_position&, const dated_position&) = default;
};

/// Records what this process has acknowledged in one database group. Thread safety: none.
class acknowledgement_history {
public:
    /// A commit was answered with success before `now`, whether or not its caller is told so.
    /// `position` is that in the answer, if any.
    void on_answered(std::optional<log_index> position, boot_time now);
    /// A commit that was answered at `position` is acknowledged to its caller. `seen_before` is the
    /// highest position of its instance's log that was known when the commit was sent.
    void on_acknowledged(log_index position, std::optional<log_index> seen_before);
    void on_proof(dated_position proof);

    /// Returns nullopt if the upper bound is unknown.
    [[nodiscard]] std::optional<acknowledged_bounds> bounds() const;

private:
    acknowledged_bounds bounds_;
    /// When the last commit without a position was answered, unless a later proof bounds it.
    std::optional<boot_time> unbounded_at_;
};

/// What one host's process has told about the commits that it acknowledged. It acknowledges no
/// further ones of the primary that the failover replaces. Times are on the clock of the recipient.
struct host_acknowledgements {
    host_id host;
    /// Not earlier than the start of the process.
    boot_time started;
    /// Absent if unknown, as for a process of an earlier release.
    std::optional<acknowledged_bounds> bounds = {};
    std::optional<dated_position> newest_proof = {};
    /// The highest position at which the host saw each replica, see replica_positions.
    std::map<instance_id, log_index> replicas = {};
};

/// What is known in one failover about the commits that all hosts have acknowledged.
struct acknowledgement_census {
    /// This host's own process.
    host_acknowledgements own;
    /// The other hosts that have confirmed this failover.
    std::map<host_id, host_acknowledgements> confirmed = {};
    /// The registered hosts that have not, and when each was last heard.
    std::map<host_id, boot_time> unconfirmed = {};
    /// Whether the registered hosts have been asked in this failover.
    bool is_announced = false;
    /// The instances that have led since the last promotion. What only they have received was not
    /// acknowledged.
    std::set<instance_id> former_primaries = {};
    /// The term of the last recorded promotion. A host that has not heard of it tells positions of
    /// earlier terms, which the group may have given up.
    term_number term = {};
    /// What earlier attempts required of a target, see failover_record.
    std::optional<log_index> required = {};
};

/// Why no upper bound of the acknowledged commits is known.
enum class census_gap {
    none,
    /// The registered hosts have not been asked yet.
    not_announced,
    /// A host has confirmed without telling what it has acknowledged.
    unknown_acknowledgements,
    /// No position proof is recent enough for what other processes have acknowledged.
    no_position_proof,
};

/// Thread safety: reentrant.
std::string_view to_string(census_gap gap) noexcept;

struct census_result {
    /// The highest known position that an acknowledged commit lies beyond.
    std::optional<log_index> beyond = {};
    /// The highest position that a host which was heard may have acknowledged.
    std::optional<log_index> up_to = {};
    /// The highest position at which a host which was heard saw a replica.
    std::optional<log_index> replicated = {};
    /// What earlier attempts required of a target.
    std::optional<log_index> required = {};
    /// What processes that were not heard have acknowledged was acknowledged before this time.
    boot_time uncovered_before = {};
    /// Every acknowledged commit is at or below this position; absent if there is a gap.
    std::optional<log_index> bound = {};
    census_gap gap = census_gap::none;
};

/// How long a silent host may still acknowledge commits. Registered hosts are told of failovers
/// until then.
constexpr seconds silent_host_lifetime{30};

/// The end of the time in which processes that were not heard may have acknowledged commits.
/// Thread safety: reentrant.
boot_time uncovered_before(const acknowledgement_census& census);

/// Bounds what all processes have acknowledged.
///
/// Each acknowledgement passes one process of a host. The processes that were heard state their own
/// bounds. Any other process was an earlier one of a host that was heard, so that it ended before
/// the start of the present one, or belongs to a host that has not confirmed. A position proof
/// from after that time bounds what it acknowledged. `own_proof` is the lowest position known to
/// this host that bounds everything acknowledged before `uncovered_before(census)`.
///
/// Thread safety: reentrant.
census_result evaluate_census(const acknowledgement_census& census,
                              std::optional<log_index> own_proof);

}  // namespace masticgrade
