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
    /// Replicas are only probed to find those that must be told to follow.
    milliseconds replica_probe_interval{1000};
    milliseconds suspicion_timeout{800};
    /// A suspicion of another monitor counts for this long after it arrived.
    milliseconds suspicion_lifetime{1000};
    milliseconds rank_delay{600};
    milliseconds failover_cooldown{5000};
    /// A new primary that is silent for this long may be replaced in spite of the
    /// failover_cooldown.
    milliseconds new_primary_timeout{2000};
    milliseconds stalled_attempt_timeout{1500};
    /// The wait before a takeover doubles with each attempt that did not complete, up to this
    /// limit. Without it, 850 groups without a majority would write 570 rows per second.
    milliseconds max_stalled_attempt_timeout{6000};
    /// A longer gap between two events means that this process was paused; silence during a pause
    /// says nothing about the primary.
    milliseconds pause_threshold{500};
};

/// Send `state` to an instance and hand the answer back as an `instance_state`.
struct probe_instance {
    instance_id instance;
    term_number term;
    /// Set when the last probe was not answered: the old connection may be silent (section 4.8).
    bool new_connection = false;
};

/// Tell the other monitors what this host thinks of the primary of a term.
struct report_suspicion {
    term_number term;
    bool suspected = false;
    std::vector<host_id> recipients;
};

enum class promotion_cause { unreachable_primary, stalled_attempt };

/// Begin a `promotion` from the observed record, and call `on_attempt_ended` when it is over.
struct start_promotion {
    group_record observed;
    promotion_cause cause = promotion_cause::unreachable_primary;
};

/// Tell an instance that holds an older term, or that was sealed and forgotten, to follow.
struct repair_follower {
    instance_id instance;
    instance_id primary;
    term_number term;
};

using detector_action =
    std::variant<probe_instance, report_suspicion, start_promotion, repair_follower>;
using detector_actions = std::vector<detector_action>;

/// Watches the primary of one group on one of its monitor hosts (section 4.1).
/// Every call takes the current time, which never decreases, and returns what is to be done.
/// Thread safety: none; the owner serialises calls.
class failure_detector {
public:
    failure_detector(host_id self, failure_detector_settings settings);

    /// The monitors of the group in rank order. Precondition: `self` is among them.
    detector_actions on_monitors(std::vector<host_id> ranked, time_point now);
    /// The group's instances and record. A record with version 0 stands for a group without a row.
    /// Records older than the known one are ignored.
    detector_actions on_group(std::vector<instance_id> instances, const group_record& record,
                              time_point now);
    /// Whether another monitor can be reached; unreachable ones are skipped in the rank order.
    detector_actions on_monitor_reachable(const host_id& monitor, bool reachable, time_point now);
    /// Any ordinary answer of an instance at `term`; it takes the place of a probe.
    detector_actions on_response(const instance_id& instance, term_number term, time_point now);
    /// The answer to a probe.
    detector_actions on_state(const instance_state& state, time_point now);
    /// A report of another monitor.
    detector_actions on_suspicion(const host_id& monitor, term_number term, bool suspected,
                                  time_point now);
    /// The promotion that this detector asked for is over, with or without success.
    detector_actions on_attempt_ended(time_point now);
    detector_actions on_time(time_point now);

    /// When `on_time` must be called at the latest.
    [[nodiscard]] time_point next_wakeup() const;
    /// Whether this host suspects_primary the primary now.
    [[nodiscard]] bool suspects_primary() const noexcept { return suspected_since_.has_value(); }

private:
    struct monitor_view {
        host_id id;
        bool reachable = true;
        term_number suspected_term;
        std::optional<time_point> suspected_at;
    };
    struct instance_view {
        instance_id id;
        time_point next_probe;
        std::optional<time_point> unanswered_since;
    };

    [[nodiscard]] bool has_primary() const noexcept;
    [[nodiscard]] std::size_t agreeing_monitors(time_point now) const;
    [[nodiscard]] duration rank_wait() const;
    [[nodiscard]] bool probes_replicas() const;
    [[nodiscard]] duration stalled_wait() const;
    [[nodiscard]] time_point promotion_due(time_point now) const;
    instance_view* find(const instance_id& instance);
    void restart_observation(time_point now);
    void evaluate(time_point now, detector_actions& actions);
    void send_probes(time_point now, detector_actions& actions);
    void update_suspicion(time_point now, detector_actions& actions);
    void decide_promotion(time_point now, detector_actions& actions);
    void report(time_point now, bool suspected, detector_actions& actions);
    detector_actions evaluated(time_point now);

    host_id self_;
    failure_detector_settings settings_;
    std::vector<monitor_view> monitors_;
    std::vector<instance_view> instances_;
    group_record record_;
    bool record_known_ = false;
    bool term_change_seen_ = false;
    unsigned incomplete_attempts_ = 0;
    bool attempt_running_ = false;
    time_point record_since_;
    time_point last_success_;
    time_point last_event_;
    time_point next_report_;
    time_point next_attempt_;
    std::optional<time_point> suspected_since_;
    std::optional<time_point> agreed_since_;
};

}  // namespace masticgrade
