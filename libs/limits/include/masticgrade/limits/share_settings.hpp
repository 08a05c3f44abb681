#pragma once

#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/limits/share_messages.hpp"

namespace masticgrade {

enum class share_mode {
    /// An owner per customer assigns shares and tokens to the hosts according to demand.
    shared,
    /// Baseline: every member holds an equal share of the rate and burst.
    static_split
};

struct share_settings {
    share_mode mode = share_mode::shared;
    /// The longest time for which a removed host may still consider itself current (section 4.5).
    duration freshness_window = seconds(3);
    duration rebalance_interval = milliseconds(500);
    /// The longest time a statement waits for a token, and the age at which a grant expires.
    duration max_token_wait = milliseconds(250);
    /// Time after which an unanswered query, assignment or token request is resent.
    duration retry_interval = milliseconds(100);
    /// Fraction by which waits based on another host's clock are extended; covers 1% clock drift.
    double clock_drift_margin = 0.01;
    /// Fraction of the assigned rate and burst that is split equally; the rest follows demand.
    double equal_split_fraction = 0.3;
    /// Time after its last statement for which a host counts as serving a customer.
    duration active_window = seconds(30);
    /// Statements per second added to the demand of each active host. Without it, a single host
    /// that received a statement of a small customer would get nearly the whole burst.
    double demand_smoothing = 1;
    /// Fractions kept in the pool for token grants, so that sudden demand is served before the next
    /// rebalancing.
    double pool_rate_reserve = 0.1;
    double pool_burst_reserve = 0.3;
    /// A holder whose share of the burst would be smaller gets none and requests every token:
    /// tokens split into fractions over several hosts would cause statements within the rate to be
    /// refused.
    double min_share_tokens = 3;
};

/// Identifies one process; a host that restarts or rejoins is a different process.
struct host_process {
    host_id host;
    incarnation_number incarnation;

    friend bool operator==(const host_process&, const host_process&) = default;
    friend auto operator<=>(const host_process&, const host_process&) = default;
};

using admission_ticket = strong_number<struct admission_ticket_tag>;

enum class refusal_reason {
    rate_exceeded,
    /// The host is not a member or cannot prove that it is current, so it may not use its shares.
    not_current,
    unknown_customer
};

struct send_message {
    share_envelope envelope;
};

/// A waiting statement may start now.
struct statement_admitted {
    admission_ticket ticket;
};

/// A waiting statement is refused; it has not been executed.
struct statement_refused {
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::rate_exceeded;
};

using share_action = std::variant<send_message, statement_admitted, statement_refused>;
using share_actions = std::vector<share_action>;

}  // namespace masticgrade
