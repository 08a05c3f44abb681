#pragma once

#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

struct failure_detector_settings {
    milliseconds probe_interval{250};
    /// Replicas are probed only to find those that need a `follow` request.
    milliseconds replica_probe_interval{1000};
    milliseconds suspicion_timeout{800};
    /// How long a suspicion report of another monitor stays valid after it is received.
    milliseconds suspicion_lifetime{1000};
    /// Each monitor waits this much longer than the reachable one ranked before it, so that they do
    /// not start promotions at the same time.
    milliseconds rank_delay{600};
    /// Minimum time between a change of primary and the next promotion; prevents failover loops.
    milliseconds failover_cooldown{5000};
    /// A new primary that has not responded for this long may be replaced during the cooldown.
    milliseconds new_primary_timeout{2000};
    /// How long a group may be without a primary before a monitor takes over the promotion. Also
    /// the minimum delay between the end of an attempt and the next one.
    milliseconds stalled_attempt_timeout{1500};
    /// The timeout doubles after each promotion that did not complete, up to this value. Without
    /// the backoff, 850 groups without a majority would write 570 rows per second to the store.
    milliseconds max_stalled_attempt_timeout{6000};
    /// A longer interval between two events means that this process was suspended. The time it was
    /// suspended does not count as time without a response.
    milliseconds pause_threshold{500};
};

/// Sends `state` to an instance. The response is passed to `failure_detector::on_state`.
struct probe_instance {
    instance_id instance;
    term_number term;
    /// Set when the previous probe got no response: the existing connection may be broken without
    /// an error (section 4.8).
    bool new_connection = false;
};

/// Tells the other monitors whether this host suspects the primary of `term`.
struct report_suspicion {
    term_number term;
    bool suspected = false;
    std::vector<host_id> recipients;
};

enum class promotion_cause { unreachable_primary, stalled_attempt };

/// Starts a `promotion` from the observed record. The owner calls `on_attempt_ended` when it ends.
struct start_promotion {
    group_record observed;
    promotion_cause cause = promotion_cause::unreachable_primary;
};

/// Sends `follow` to an instance that has an older term or is still sealed at the current one.
struct repair_follower {
    instance_id instance;
    instance_id primary;
    term_number term;
};

using detector_action =
    std::variant<probe_instance, report_suspicion, start_promotion, repair_follower>;
using detector_actions = std::vector<detector_action>;

/// Detects the failure of a group's primary on one of the group's monitor hosts (section 4.1).
/// Every call takes the current time, which must not decrease, and returns the actions to perform.
/// Not thread-safe; the owner serialises calls.
class failure_detector {
public:
    failure_detector(host_id self, failure_detector_settings settings);

    /// Sets the group's monitors in rank order. Precondition: `self` is one of them.
    detector_actions on_monitors(std::vector<host_id> ranked, time_point now);
    /// Sets the group's instances and record. A record with version 0 means that the store has no
    /// row for the group. Records that are not newer than the known one are ignored.
    detector_actions on_group(std::vector<instance_id> instances, const group_record& record,
                              time_point now);
    /// Sets whether another monitor is reachable. Unreachable monitors add no rank delay.
    detector_actions on_monitor_reachable(const host_id& monitor, bool reachable, time_point now);
    /// Records any response of an instance at `term`, which postpones its next probe.
    detector_actions on_response(const instance_id& instance, term_number term, time_point now);
    /// Handles the response to a probe.
    detector_actions on_state(const instance_state& state, time_point now);
    /// Handles a suspicion report of another monitor.
    detector_actions on_suspicion(const host_id& monitor, term_number term, bool suspected,
                                  time_point now);
    /// Must be called when a promotion that this detector requested ends, successful or not.
    detector_actions on_attempt_ended(time_point now);
    detector_actions on_time(time_point now);

    /// The latest time for the next call of `on_time`.
    [[nodiscard]] time_point next_wakeup() const;
    /// Whether this host currently suspects the primary.
    [[nodiscard]] bool suspects_primary() const noexcept { return suspected_since_.has_value(); }

private:
    struct monitor_status {
        host_id id;
        bool reachable = true;
        term_number suspected_term;
        std::optional<time_point> suspected_at;
    };
    struct instance_status {
        instance_id id;
        time_point next_probe;
        std::optional<time_point> unanswered_since;
    };

    [[nodiscard]] bool has_primary() const noexcept;
    [[nodiscard]] std::size_t agreeing_monitors(time_point now) const;
    [[nodiscard]] duration total_rank_delay() const;
    [[nodiscard]] bool probes_replicas() const;
    [[nodiscard]] duration current_stalled_attempt_timeout() const;
    [[nodiscard]] time_point promotion_due(time_point now) const;
    instance_status* find(const instance_id& instance);
    void restart_observation(time_point now);
    void evaluate(time_point now, detector_actions& actions);
    void send_probes(time_point now, detector_actions& actions);
    void update_suspicion(time_point now, detector_actions& actions);
    void decide_promotion(time_point now, detector_actions& actions);
    void report(time_point now, bool suspected, detector_actions& actions);
    detector_actions evaluate_at(time_point now);

    host_id self_;
    failure_detector_settings settings_;
    std::vector<monitor_status> monitors_;
    std::vector<instance_status> instances_;
    group_record record_;
    bool record_known_ = false;
    bool cooldown_applies_ = false;
    unsigned incomplete_attempts_ = 0;
    bool attempt_running_ = false;
    time_point record_received_at_;
    /// When the primary last responded, or when its observation began.
    time_point last_response_;
    time_point last_event_;
    time_point next_report_;
    time_point earliest_next_attempt_;
    std::optional<time_point> suspected_since_;
    std::optional<time_point> agreed_since_;
};

}  // namespace masticgrade
