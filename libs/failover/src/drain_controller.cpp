#include "masticgrade/failover/drain_controller.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

drain_controller::drain_controller(failure_domain_id own_domain, drain_controller_settings settings)
    : own_domain_(std::move(own_domain)), settings_(settings) {}

void drain_controller::on_snapshot(const fleet_snapshot& snapshot, time_point now) {
    const auto& operations = snapshot.ops;
    own_domain_in_service_ = operations.drained_domains.count(own_domain_) == 0;
    std::map<instance_id, instance_status> instances;
    std::map<group_id, group_status> groups;
    for (const auto& [group_name, group] : snapshot.config.groups) {
        auto& state = groups[group_name];
        if (const auto known = groups_.find(group_name); known != groups_.end()) {
            state = std::move(known->second);
        }
        state.instances.clear();
        if (const auto record = snapshot.groups.find(group_name); record != snapshot.groups.end()) {
            state.record = record->second;
        }
        for (const auto& config : group.instances) {
            state.instances.push_back(config.id);
            auto& instance = instances[config.id];
            if (const auto known = instances_.find(config.id); known != instances_.end()) {
                instance = known->second;
            }
            instance.group = group_name;
            instance.is_primary =
                state.record.phase == group_phase::active && state.record.primary == config.id;
            const bool drained = operations.drained_domains.count(config.failure_domain) > 0 ||
                                 operations.drained_servers.count(config.id) > 0;
            update(instance, drained, leaving_.count(config.id) > 0, now);
        }
    }
    instances_ = std::move(instances);
    groups_ = std::move(groups);
}

void drain_controller::on_leaving_servers(std::set<instance_id> leaving, time_point now) {
    leaving_ = std::move(leaving);
    for (auto& [id, instance] : instances_) {
        update(instance, instance.drained, leaving_.count(id) > 0, now);
    }
}

void drain_controller::on_switchover_ended(const group_id& group, time_point now) {
    if (const auto found = groups_.find(group); found != groups_.end()) {
        found->second.switchover_running = false;
        found->second.earliest_next_switchover = now + settings_.switchover_retry_delay;
    }
}

std::vector<start_switchover> drain_controller::due_switchovers(time_point now) {
    std::vector<start_switchover> due;
    for (auto& [id, group] : groups_) {
        if (!switchover_due(id, group, now)) {
            continue;
        }
        group.switchover_running = true;
        start_switchover action{id, group.record, {}};
        for (const auto& instance : group.instances) {
            if (avoided(instance)) {
                action.avoided.insert(instance);
            }
        }
        due.push_back(std::move(action));
    }
    return due;
}

bool drain_controller::avoided(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found != instances_.end() && found->second.avoided();
}

std::set<instance_id> drain_controller::avoided_instances() const {
    std::set<instance_id> found;
    for (const auto& [id, instance] : instances_) {
        if (instance.avoided()) {
            found.insert(id);
        }
    }
    return found;
}

double drain_controller::load_fraction(const instance_id& instance, time_point now) const {
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
        return 0;
    }
    const auto& state = found->second;
    // Only the primary can execute writes until the switchover has completed.
    if (state.is_primary) {
        return 1;
    }
    if (state.avoided()) {
        return 0;
    }
    if (!state.returned_at) {
        return 1;
    }
    const std::chrono::duration<double> since = now - *state.returned_at;
    const std::chrono::duration<double> ramp_duration = settings_.ramp_duration;
    const double progress = std::clamp(since / ramp_duration, 0.0, 1.0);
    return settings_.initial_load_fraction + (1 - settings_.initial_load_fraction) * progress;
}

bool drain_controller::accepts_new_work(const instance_id& instance, double random_value,
                                        time_point now) const {
    return random_value < load_fraction(instance, now);
}

bool drain_controller::connection_may_close(const instance_id& instance, bool statement_in_flight,
                                            bool transaction_open) const {
    const auto found = instances_.find(instance);
    const bool out_of_service =
        found == instances_.end() || (found->second.avoided() && !found->second.is_primary);
    return out_of_service && !statement_in_flight && !transaction_open;
}

void drain_controller::check_new_work(const instance_id& instance, time_point now) const {
    MG_INVARIANT("no_new_work_out_of_service", load_fraction(instance, now) > 0,
                 fmt::format("instance={} avoided={}", instance, avoided(instance)));
}

void drain_controller::update(instance_status& state, bool drained, bool leaving,
                              time_point now) const {
    const bool was_avoided = state.avoided();
    state.drained = drained;
    state.leaving = leaving;
    if (state.avoided()) {
        state.returned_at.reset();
    } else if (was_avoided) {
        state.returned_at = now;
    }
}

bool drain_controller::switchover_due(const group_id& id, const group_status& group,
                                      time_point now) const {
    const auto& record = group.record;
    if (record.phase != group_phase::active || !avoided(record.primary) ||
        group.switchover_running || now < group.earliest_next_switchover ||
        coordinated_.count(id) == 0) {
        return false;
    }
    // If every instance is out of service, there is no candidate.
    return std::any_of(group.instances.begin(), group.instances.end(),
                       [&](const auto& instance) { return !avoided(instance); });
}

}  // namespace masticgrade
