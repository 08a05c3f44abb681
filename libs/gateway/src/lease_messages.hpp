#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/acknowledged_positions.hpp"
#include "masticgrade/gateway/primary_verdict.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/gateway/statement.hpp"
#include "masticgrade/rows/row_messages.hpp"
#include "masticgrade/usage/operation_counter.hpp"

namespace masticgrade {

/// Identifies a lease: the use of a connection from the pool of another host.
using lease_id = strong_number<struct lease_tag>;

enum class lease_failure : std::uint8_t {
    none,
    /// The wait would have exceeded the allowed time.
    overloaded,
    /// The wait exceeded the allowed time.
    timed_out,
    /// The host grants no leases, or the instance or lease is unknown to it.
    not_served,
    /// The message was delayed for too long in transit.
    late,
    /// The connection to the instance failed before any step can have been executed.
    broken,
    /// The connection failed, and the steps may have been executed.
    broken_may_have_run,
    /// The instance sent an answer that could not be matched with its step, which may have been
    /// executed.
    mismatched,
};

/// Requests the use of a connection to an instance.
struct lease_request {
    group_id group;
    instance_id instance;
    customer_id customer;
    bool needs_primary = false;
    std::optional<log_index> at_least;
    /// Remaining times at the time of sending, for `waiter::deadline` and `waiter::latest_start`.
    milliseconds time_to_deadline{0};
    milliseconds time_to_latest_start{0};
    unsigned priority = 0;

    friend bool operator==(const lease_request&, const lease_request&) = default;
};

struct lease_reply {
    lease_id lease;
    lease_failure failure = lease_failure::none;

    friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

/// Executes requests on a leased connection, after applying the session context, if any.
struct run_request {
    lease_id lease;
    /// Remaining time at the time of sending.
    milliseconds remaining{0};
    std::optional<std::map<std::string, std::string>> values;
    std::optional<prepared_statement> prepared;
    std::vector<backend_request> steps;
};

struct run_reply {
    lease_failure failure = lease_failure::none;
    std::string reason;
    std::vector<statement_answer> answers;
};

/// Ends a lease. An open transaction on the connection is rolled back.
struct lease_release {
    lease_id lease;

    friend bool operator==(const lease_release&, const lease_release&) = default;
};

/// Requests an immediate `pong`. The round-trip time bounds the delay of both messages.
struct ping {};
struct pong {};

/// Queries the owner of the primary's pool for a recent proof of the group's log position.
struct position_query {
    group_id group;
    customer_id customer;
    /// Remaining time at the time of sending.
    milliseconds remaining{0};

    friend bool operator==(const position_query&, const position_query&) = default;
};

struct position_reply {
    /// The primary that provided the proof.
    instance_id instance;
    /// Empty if no proof was obtained in time.
    std::optional<log_index> position;
    /// Every commit acknowledged at least this long before the answer was sent is at or below
    /// `position`.
    milliseconds age{0};

    friend bool operator==(const position_reply&, const position_reply&) = default;
};

/// Queries the newest position proofs of several groups from a relay of the failure domain. One
/// such query replaces a query to each group's pool owner, of which a fleet of 295 hosts would send
/// thousands a second.
struct positions_query {
    struct item {
        group_id group;
        /// A customer of the group, for the relay's own queries.
        customer_id customer;

        friend bool operator==(const item&, const item&) = default;
    };
    std::vector<item> groups;

    friend bool operator==(const positions_query&, const positions_query&) = default;
};

/// The proofs that the recipient has; groups without one are omitted.
struct positions_reply {
    struct item {
        group_id group;
        position_reply reply;

        friend bool operator==(const item&, const item&) = default;
    };
    std::vector<item> positions;

    friend bool operator==(const positions_reply&, const positions_reply&) = default;
};

/// The sender has acquired the lock of a group's failover. The recipient stops using the group's
/// primary before it replies with `failover_confirmed`.
struct failover_begun {
    group_id group;
    /// The fencing token of the lock.
    std::uint64_t fence = 0;

    friend bool operator==(const failover_begun&, const failover_begun&) = default;
};

struct failover_confirmed {
    /// What the sender's process has acknowledged in the group; absent if unknown.
    std::optional<acknowledged_bounds> acknowledged = {};
    /// Every commit acknowledged at least `proof_age` before the answer was sent is at or below it.
    std::optional<log_index> proof = {};
    /// At most an hour.
    milliseconds proof_age{0};
    /// See replica_positions.
    std::map<instance_id, log_index> replicas = {};

    friend bool operator==(const failover_confirmed&, const failover_confirmed&) = default;
};

/// The sender has recorded the outcome of a failover in the store.
struct failover_recorded {
    group_id group;
    std::uint64_t fence = 0;

    friend bool operator==(const failover_recorded&, const failover_recorded&) = default;
};

/// Asks whether the recipient finds the primary alive. Sent before an unplanned failover, since the
/// sender itself may be the one that is cut off.
struct primary_query {
    group_id group;
    instance_id instance;

    friend bool operator==(const primary_query&, const primary_query&) = default;
};

/// A collector has stored the usage update of this revision.
struct usage_acknowledgement {
    std::uint64_t revision = 0;
    incarnation_number incarnation;
    /// Whether the collector reports usage to the platform.
    bool is_holder = false;

    friend bool operator==(const usage_acknowledgement&, const usage_acknowledgement&) = default;
};

using lease_payload =
    std::variant<lease_request, lease_reply, run_request, run_reply, lease_release, ping, pong,
                 position_query, position_reply, row_query, row_reply, failover_begun,
                 failover_confirmed, failover_recorded, primary_query, primary_reply,
                 positions_query, positions_reply, usage_update, usage_acknowledgement>;

struct lease_message {
    /// Uptime of the sending process at the time of sending.
    milliseconds sender_uptime{0};
    lease_payload call;
};

/// Thread safety: reentrant.
std::vector<std::uint8_t> encode_lease_message(const lease_message& message);
/// Throws masticgrade::error if the bytes are not a valid message. Thread safety: reentrant.
lease_message decode_lease_message(std::span<const std::uint8_t> bytes);

}  // namespace masticgrade
