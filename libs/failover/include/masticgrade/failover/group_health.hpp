#pragma once

#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"

namespace masticgrade {

/// What routing needs to know about one instance.
struct instance_health {
    instance_id id;
    /// False until the first answer, and after a failure that no later answer disproved.
    bool reachable = false;
    term_number term;
    log_position received;
    log_position applied;
    /// Log entries applied per second, from the last answers; 0 when unknown.
    double apply_rate = 0;
    /// Empty until the instance answered `state`.
    std::optional<milliseconds> staleness;
    /// The send time of the request that `staleness` came with: the true value at a later time is
    /// at most the time since then greater.
    time_point staleness_at;
    /// The send time of the newest request that was answered.
    time_point answered_at;
};

/// Keeps the health of the instances of one group from every answer that carries it.
/// Thread safety: none; the owner serialises calls.
class group_health {
public:
    explicit group_health(const std::vector<instance_id>& instances);

    /// Answers of older requests than the last one, and of older terms, change nothing but
    /// reachability.
    void on_progress(const instance_progress& progress);
    void on_state(const instance_state& state);
    /// The probe of section 4.8 failed on a new connection, or a connection was refused.
    /// `sent_at` is when the failed request was sent; a newer answer outweighs it.
    void on_unreachable(const instance_id& instance, time_point sent_at);
    /// Replaces the instances; what is known about those that stay is kept.
    void on_instances(const std::vector<instance_id>& instances);

    [[nodiscard]] const std::vector<instance_health>& instances() const noexcept {
        return instances_;
    }
    /// Null for an unknown instance. Valid until the next non-const call.
    [[nodiscard]] const instance_health* find(const instance_id& instance) const;
    /// An upper bound on the staleness at `now`; empty when it is unknown.
    [[nodiscard]] std::optional<milliseconds> staleness_bound(const instance_id& instance,
                                                              time_point now) const;
    /// The applied position expected at `at`; a guess that the database checks.
    [[nodiscard]] log_position expected_applied(const instance_id& instance, time_point at) const;
    /// The instances whose staleness is older than `age`: send them `state`.
    [[nodiscard]] std::vector<instance_id> due_for_state(duration age, time_point now) const;

private:
    /// Where the current sample of the apply rate began; one for each instance.
    struct rate_sample {
        time_point at;
        log_position applied;
    };
    static void update_rate(instance_health& health, rate_sample& sample,
                            const instance_progress& progress);

    std::vector<instance_health> instances_;
    std::vector<rate_sample> samples_;
};

}  // namespace masticgrade
