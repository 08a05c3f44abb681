#pragma once

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/request/session_token.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// What a read must at least reflect, besides the session's own writes.
struct strong_read {};
struct session_read {};
struct bounded_staleness {
    milliseconds limit;
};
using read_freshness = std::variant<strong_read, session_read, bounded_staleness>;

/// What routing knows of one instance at the moment of the decision.
struct instance_view {
    instance_id id;
    failure_domain_id failure_domain;
    bool reachable = false;
    /// Whether operators or the platform have taken the instance out of service.
    bool draining = false;
    term_number term;
    /// The position that the instance is known, or expected by now, to have applied.
    log_position applied;
    /// An upper bound of how old the instance's data are now; absent when not known.
    std::optional<milliseconds> staleness;
    std::size_t outstanding = 0;
    /// How much of its normal load an instance may get while it returns to service, 0 to 1.
    double admitted_share = 1.0;
};

struct read_target {
    std::size_t instance = 0;
    /// What the instance must have applied; the instance checks it again.
    log_position min_position;
    bool is_replica = false;
};

enum class routing_refusal {
    /// No primary is known at present.
    no_primary,
    /// The session has seen a later term than this host; the host must refresh first.
    group_record_outdated
};

using read_decision = std::variant<read_target, routing_refusal>;

/// Returns the position in the log of the record's term that corresponds to a session's position,
/// or nothing when the session has seen a later term than the record's.
std::optional<log_position> required_position(const std::optional<session_position>& session,
                                              const group_record& record) noexcept;

struct read_request {
    read_freshness freshness = strong_read{};
    std::optional<session_position> session;
    failure_domain_id own_domain;
    /// A number in [0, 1) drawn by the caller, which thins out the load on a returning instance.
    double random = 0;
    /// Serves every read on the primary; a baseline for measurements.
    bool primary_only = false;
};

/// Chooses the instance for one read: the least loaded replica that is fresh enough, preferring the
/// own failure domain on a tie, or else the primary.
/// Thread safety: reentrant. Precondition: `record` and `instances` belong to the same group.
read_decision select_read_target(const read_request& request, const group_record& record,
                                 const std::vector<instance_view>& instances);

}  // namespace masticgrade
