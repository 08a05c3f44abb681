#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/gateway/statement.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// Names the use of a connection that one host has lent to another.
using lease_id = strong_number<struct lease_tag>;

enum class lease_failure : std::uint8_t {
    none,
    /// Its turn would come too late, or did not come in time.
    overloaded,
    timed_out,
    /// The host lends no connections, or does not know the instance or the lease.
    not_served,
    /// The message was under way for too long.
    late,
    /// The connection to the instance broke before the steps can have run.
    broken,
    /// The connection broke, and the steps may have run.
    broken_may_have_run,
};

/// Asks for the use of a connection to an instance.
struct lease_request {
    group_id group;
    instance_id instance;
    customer_id customer;
    bool needs_primary = false;
    std::optional<log_index> at_least;
    /// Times left when the message was sent.
    milliseconds give_up{0};
    milliseconds start_by{0};
    unsigned priority = 0;

    friend bool operator==(const lease_request&, const lease_request&) = default;
};

struct lease_reply {
    lease_id lease;
    lease_failure failure = lease_failure::none;

    friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

/// Runs requests on a leased connection, after it was given the session's context where there is
/// one.
struct run_request {
    lease_id lease;
    /// Time left when the message was sent.
    milliseconds remaining{0};
    std::optional<std::map<std::string, std::string>> values;
    std::optional<prepared_statement> shape;
    std::vector<backend_request> steps;
};

struct run_reply {
    lease_failure failure = lease_failure::none;
    std::string reason;
    std::vector<statement_answer> answers;
};

/// Ends a lease; what is open on the connection is rolled back.
struct lease_release {
    lease_id lease;

    friend bool operator==(const lease_release&, const lease_release&) = default;
};

/// Asks for an answer at once, whose way there and back bounds the delay of both messages.
struct ping {};
struct pong {};

/// Asks the home of a group's primary for a recent proof of the group's position.
struct position_query {
    group_id group;
    customer_id customer;
    /// Time left when the message was sent.
    milliseconds remaining{0};

    friend bool operator==(const position_query&, const position_query&) = default;
};

struct position_reply {
    /// The primary that made the proof.
    instance_id instance;
    /// Nothing when no proof could be had in time.
    std::optional<log_index> position;
    /// Every commit acknowledged this long before the answer was sent is at or below `position`.
    milliseconds age{0};

    friend bool operator==(const position_reply&, const position_reply&) = default;
};

/// Asks for rows of the store that the recipient has read.
struct row_query {
    std::string prefix;
    /// Names the rows that the sender has.
    std::uint64_t digest = 0;

    friend bool operator==(const row_query&, const row_query&) = default;
};

struct row_reply {
    /// False when the recipient has read no such rows.
    bool known = false;
    std::uint64_t digest = 0;
    /// Time since the recipient asked the store for them.
    milliseconds age{0};
    /// Empty when the sender has the same rows.
    std::vector<table_row> rows;
};

using lease_payload =
    std::variant<lease_request, lease_reply, run_request, run_reply, lease_release, ping, pong,
                 position_query, position_reply, row_query, row_reply>;

struct lease_message {
    /// The age of the sending process when it sent the message.
    milliseconds sender_uptime{0};
    lease_payload call;
};

/// Thread safety: reentrant.
std::vector<std::uint8_t> encode_lease_message(const lease_message& message);
/// Throws masticgrade::error when the bytes are no valid message. Thread safety: reentrant.
lease_message decode_lease_message(std::span<const std::uint8_t> bytes);

}  // namespace masticgrade
