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
    /// The fraction of its normal load that an instance gets when it returns to service. It is low
    /// because the instance's caches are cold.
    double initial_load_fraction = 0.1;
    /// How long it takes until a returned instance gets its normal load.
    seconds ramp_duration{10};
    /// Delay before a planned switchover that did not move the primary is retried.
    seconds switchover_retry_delay{2};
};

/// Starts a planned `promotion` in the group. The owner calls `on_switchover_ended` when it ends.
struct start_switchover {
    group_id group;
    group_record observed;
    std::set<instance_id> avoided;
};

/// Controls the load of instances in drained failure domains and on drained or leaving servers,
/// moves primaries away from them, and ramps up the load of instances that return to service
/// (section 4.9).
/// The current time that is passed to calls must not decrease.
/// Not thread-safe; the owner serialises calls.
class drain_controller {
public:
    explicit drain_controller(failure_domain_id own_domain,
                              drain_controller_settings settings = {});

    /// Applies the configuration, operations and group records of a snapshot. Instances that are in
    /// service in the first snapshot are not ramped up, because only this process has started.
    void on_snapshot(const fleet_snapshot& snapshot, time_point now);
    /// Sets the instances on servers that the platform's host list marks as leaving.
    void on_leaving_servers(std::set<instance_id> leaving, time_point now);
    /// Sets the groups whose switchovers this host starts, as their first reachable monitor.
    void on_coordinated_groups(std::set<group_id> groups) { coordinated_ = std::move(groups); }
    void on_switchover_ended(const group_id& group, time_point now);

    /// Returns the planned switchovers to start. Each one is returned once until it has ended.
    std::vector<start_switchover> due_switchovers(time_point now);

    /// Whether an instance is drained or its server is leaving.
    [[nodiscard]] bool avoided(const instance_id& instance) const;
    /// The instances for which `avoided` is true.
    [[nodiscard]] std::set<instance_id> avoided_instances() const;
    /// The fraction of its normal load that an instance may get in new statements and transactions:
    /// 0 for an instance that is drained or leaving, unless it is still the primary. Rises from
    /// `initial_load_fraction` to 1 after the instance returns to service.
    [[nodiscard]] double load_fraction(const instance_id& instance, time_point now) const;
    /// Whether a new statement may be sent to the instance; `random_value` is in [0, 1).
    [[nodiscard]] bool accepts_new_work(const instance_id& instance, double random_value,
                                        time_point now) const;
    /// Whether a connection may be closed: the instance is out of service, and the connection has
    /// no statement in flight and no open transaction.
    [[nodiscard]] bool connection_may_close(const instance_id& instance, bool statement_in_flight,
                                            bool transaction_open) const;
    /// Whether this host's failure domain is in service. If not, the host's readiness check fails.
    [[nodiscard]] bool own_domain_in_service() const noexcept { return own_domain_in_service_; }
    /// Checks the invariant that instances out of service get no new work. Must be called when a
    /// new statement or transaction is sent.
    void check_new_work(const instance_id& instance, time_point now) const;

private:
    struct instance_status {
        group_id group;
        bool drained = false;
        bool leaving = false;
        bool is_primary = false;
        std::optional<time_point> returned_at;
        [[nodiscard]] bool avoided() const noexcept { return drained || leaving; }
    };
    struct group_status {
        group_record record;
        std::vector<instance_id> instances;
        bool switchover_running = false;
        time_point earliest_next_switchover;
    };

    void update(instance_status& state, bool drained, bool leaving, time_point now) const;
    [[nodiscard]] bool switchover_due(const group_id& id, const group_status& group,
                                      time_point now) const;

    failure_domain_id own_domain_;
    drain_controller_settings settings_;
    bool own_domain_in_service_ = true;
    std::map<instance_id, instance_status> instances_;
    std::map<group_id, group_status> groups_;
    std::set<instance_id> leaving_;
    std::set<group_id> coordinated_;
};

}  // namespace masticgrade
