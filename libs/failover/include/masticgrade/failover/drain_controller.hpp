#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

struct drain_controller_settings {
    /// A returning instance starts with this share of its normal load, because its caches are cold.
    double initial_load_fraction = 0.1;
    seconds ramp_duration{10};
    /// Wait before a planned switch that did not move the primary is tried again.
    seconds switchover_retry_delay{2};
};

/// Begin a planned `promotion` of the group, and call `on_switchover_ended` when it is over.
struct start_switchover {
    group_id group;
    group_record observed;
    std::set<instance_id> avoided;
};

/// Decides what drained failure domains, drained servers and leaving servers may still do, and how
/// they return (section 4.9).
/// Every call takes the current time, which never decreases.
/// Thread safety: none; the owner serialises calls.
class drain_controller {
public:
    explicit drain_controller(failure_domain_id own_domain,
                              drain_controller_settings settings = {});

    /// Takes over configuration, operations and group records. Instances that are in service in
    /// the first snapshot need no ramp_duration: this process has just started, not they.
    void on_snapshot(const fleet_snapshot& snapshot, time_point now);
    /// The instances on servers that the platform's host list marks as leaving.
    void on_leaving_servers(std::set<instance_id> leaving, time_point now);
    /// The groups for which this host is the first reachable monitor; it starts their switches.
    void on_coordinated_groups(std::set<group_id> groups) { coordinated_ = std::move(groups); }
    void on_switchover_ended(const group_id& group, time_point now);

    /// The planned switches that are due. Each is reported once until it has ended.
    std::vector<start_switchover> due_switchovers(time_point now);

    /// Whether an instance is drained or leaving.
    [[nodiscard]] bool avoided(const instance_id& instance) const;
    /// The instances that are drained or leaving.
    [[nodiscard]] std::set<instance_id> avoided_instances() const;
    /// The part of its normal load that an instance may get as new work: 0 for an instance that
    /// is drained or leaving, unless it is still the primary; rising from 10% while it returns.
    [[nodiscard]] double load_fraction(const instance_id& instance, time_point now) const;
    /// Whether one more statement may go there; `draw` is a random number in [0, 1).
    [[nodiscard]] bool accepts_new_work(const instance_id& instance, double draw,
                                        time_point now) const;
    /// Whether a connection may close: the instance is out of service and nothing of the
    /// connection is open.
    [[nodiscard]] bool connection_may_close(const instance_id& instance, bool statement_in_flight,
                                            bool transaction_open) const;
    /// Whether this host's own failure domain is in service; otherwise its readiness check fails.
    [[nodiscard]] bool own_domain_in_service() const noexcept { return own_in_service_; }
    /// Checks the promise that instances out of service get no new work. Called for each new
    /// statement or transaction, when it is sent.
    void check_new_work(const instance_id& instance, time_point now) const;

private:
    struct instance_state {
        group_id group;
        bool drained = false;
        bool leaving = false;
        bool is_primary = false;
        std::optional<time_point> returned_at;
        [[nodiscard]] bool avoided() const noexcept { return drained || leaving; }
    };
    struct group_state {
        group_record record;
        std::vector<instance_id> instances;
        bool switch_running = false;
        time_point next_switch;
    };

    void update(instance_state& state, bool drained, bool leaving, time_point now) const;
    [[nodiscard]] bool switch_due(const group_id& id, const group_state& group,
                                  time_point now) const;

    failure_domain_id own_domain_;
    drain_controller_settings settings_;
    bool own_in_service_ = true;
    std::map<instance_id, instance_state> instances_;
    std::map<group_id, group_state> groups_;
    std::set<instance_id> leaving_;
    std::set<group_id> coordinated_;
};

}  // namespace masticgrade
