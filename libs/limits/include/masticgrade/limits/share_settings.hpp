#pragma once

#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/limits/share_messages.hpp"

namespace masticgrade {

enum class share_mode {
    /// An owner per customer moves shares and tokens to where the demand is.
    shared,
    /// Baseline: every member holds an equal part of rate and burst.
    static_split
};

struct share_settings {
    share_mode mode = share_mode::shared;
    /// How long a host that was removed may still believe that it is current (section 4.5).
    duration freshness_window = seconds(3);
    duration rebalance_interval = milliseconds(500);
    /// The longest a statement waits for a token, and the age at which a grant becomes useless.
    duration max_token_wait = milliseconds(250);
    /// How long an unanswered query or token request is left before it is sent again.
    duration retry_interval = milliseconds(100);
    /// Extends what one host waits for another's clock; covers a difference in speed of 1%.
    double clock_drift_margin = 0.01;
    /// The part of the assigned rate and burst that is spread evenly; the rest follows demand.
    double equal_split_fraction = 0.3;
    /// A host counts as serving a customer for so long after its last statement.
    duration active_window = seconds(30);
    /// Statements per second added to the demand of each active host. Without it, the one host that
    /// happened to see a statement of a small customer would get nearly the whole burst.
    double demand_smoothing = 1;
    /// Kept in the pool for transfers, so that a sudden demand is served before the next round.
    double pool_rate_reserve = 0.1;
    double pool_burst_reserve = 0.3;
    /// A holder whose part of the burst would be smaller has no share and asks for every token:
    /// fractions of a token on several hosts would add up to statements refused wrongly.
    double min_share_tokens = 3;
};

/// Identifies one process: a host that restarts or joins again is another process.
struct host_process {
    host_id host;
    incarnation_number incarnation;

    friend bool operator==(const host_process&, const host_process&) = default;
    friend auto operator<=>(const host_process&, const host_process&) = default;
};

using admission_ticket = strong_number<struct admission_ticket_tag>;

enum class refusal_reason {
    rate_exceeded,
    /// The host is not a member or not fresh, so that its shares are unusable.
    not_current,
    unknown_customer
};

struct send_message {
    share_envelope envelope;
};

/// A statement that waited may start now.
struct statement_admitted {
    admission_ticket ticket;
};

/// A statement that waited is refused; it has not been run.
struct statement_refused {
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::rate_exceeded;
};

using share_action = std::variant<send_message, statement_admitted, statement_refused>;
using share_actions = std::vector<share_action>;

}  // namespace masticgrade
