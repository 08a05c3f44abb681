#pragma once

#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"

namespace masticgrade {

/// The state of one instance that routing depends on.
struct instance_health {
    instance_id id;
    /// False until the first response, and after a failure until a later response.
    bool reachable = false;
    term_number term;
    log_position received;
    log_position applied;
    /// Log entries applied per second, as a moving average; 0 when unknown.
    double apply_rate = 0;
    /// Empty until the first response to `state`.
    std::optional<milliseconds> staleness;
    /// When the request that returned `staleness` was sent. At a later time, the staleness is
    /// greater by at most the time since then.
    time_point staleness_at;
    /// When the newest request with a response was sent.
    time_point newest_request_sent_at;
};

/// Tracks the health of the instances of one group from their responses.
/// Not thread-safe; the owner serialises calls.
class group_health {
public:
    explicit group_health(const std::vector<instance_id>& instances);

    /// Records a response. One to an older request than the newest is ignored; one of an older term
    /// updates only the reachability.
    void on_progress(const instance_progress& progress);
    void on_state(const instance_state& state);
    /// Must be called when the probe of section 4.8 failed on a new connection, or a connection was
    /// refused. `sent_at` is when the failed request was sent; ignored if a newer request got a
    /// response.
    void on_unreachable(const instance_id& instance, time_point sent_at);
    /// Replaces the instances and keeps the health of those that remain.
    void on_instances(const std::vector<instance_id>& instances);

    [[nodiscard]] const std::vector<instance_health>& instances() const noexcept {
        return instances_;
    }
    /// Null for an unknown instance. Valid until the next non-const call.
    [[nodiscard]] const instance_health* find(const instance_id& instance) const;
    /// An upper bound on the staleness at `now`; empty when unknown.
    [[nodiscard]] std::optional<milliseconds> staleness_bound(const instance_id& instance,
                                                              time_point now) const;
    /// The estimated applied position at `at`. The database checks the actual one.
    [[nodiscard]] log_position expected_applied(const instance_id& instance, time_point at) const;
    /// The instances to send `state` to, because their staleness is unknown or older than `age`.
    [[nodiscard]] std::vector<instance_id> due_for_state(duration age, time_point now) const;

private:
    /// The start of the current sample of an instance's apply rate.
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
