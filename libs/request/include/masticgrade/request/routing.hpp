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

/// The consistency that a read requires in addition to the session's own writes: the primary's
/// current data, nothing more, or data of limited age.
struct strong_read {};
struct session_read {};
struct bounded_staleness {
    milliseconds limit;
};
using read_freshness = std::variant<strong_read, session_read, bounded_staleness>;

/// The state of one instance as known to the router.
struct instance_view {
    instance_id id;
    failure_domain_id failure_domain;
    bool reachable = false;
    /// Whether an operator or the platform has taken the instance out of service.
    bool draining = false;
    term_number term;
    /// The position that the instance has applied, as reported or extrapolated to the present.
    log_position applied;
    /// An upper bound of the age of the instance's data; empty when unknown.
    std::optional<milliseconds> staleness;
    std::size_t outstanding = 0;
    /// The fraction of its normal load, 0 to 1, that an instance receives while it returns to
    /// service.
    double admitted_share = 1.0;
};

struct read_target {
    std::size_t instance = 0;
    /// The position that the instance must have applied; the instance verifies it again.
    log_position min_position;
    bool is_replica = false;
};

enum class routing_refusal {
    /// No primary is currently known.
    no_primary,
    /// The session has observed a later term than this host, which has to refresh its record first.
    group_record_outdated
};

using read_decision = std::variant<read_target, routing_refusal>;

/// Maps a session's position to the log of the record's term. Returns nothing when the session has
/// observed a later term than the record's.
std::optional<log_position> required_position(const std::optional<session_position>& session,
                                              const group_record& record) noexcept;

struct read_request {
    read_freshness freshness = strong_read{};
    std::optional<session_position> session;
    failure_domain_id own_domain;
    /// A random number in [0, 1) that is compared with `admitted_share`.
    double random = 0;
    /// Sends every read to the primary. A baseline for measurements.
    bool primary_only = false;
};

/// Selects the instance for one read: the least loaded replica that is fresh enough, preferring the
/// own failure domain between equally loaded ones, otherwise the primary.
/// Thread safety: reentrant. Precondition: `record` and `instances` belong to the same group.
read_decision select_read_target(const read_request& request, const group_record& record,
                                 const std::vector<instance_view>& instances);

}  // namespace masticgrade
