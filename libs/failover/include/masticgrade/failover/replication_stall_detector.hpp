#pragma once

#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"

namespace masticgrade {

struct replication_stall_detector_settings {
    /// Replication is stalled when the majority position does not advance for this long while the
    /// primary has more log entries. The position of replicas that merely lag still advances.
    milliseconds stall_timeout{1500};
    /// Older responses of a replica are not taken as a sign that it is reachable.
    milliseconds max_response_age{1000};
};

/// Detects a primary that still responds to this host but cannot replicate to a majority of its
/// group, so that none of its writes can be acknowledged (section 4.1).
/// The current time that is passed to calls must not decrease.
/// Not thread-safe; the owner serialises calls.
class replication_stall_detector {
public:
    explicit replication_stall_detector(replication_stall_detector_settings settings = {})
        : settings_(settings) {}

    /// Sets the group's instances and its active primary. Any change discards the observations.
    void on_group(const std::vector<instance_id>& instances, const instance_id& primary,
                  term_number term);
    /// Records the positions in a response of an instance. Responses of other terms are ignored.
    void on_progress(const instance_progress& progress, time_point now);

    /// Whether the primary has entries that no majority is known to have. The replicas should then
    /// be queried for their state.
    [[nodiscard]] bool replicas_lagging() const noexcept { return lagging_since_.has_value(); }
    /// Whether a majority that excludes the primary responds to this host but receives no entries.
    [[nodiscard]] bool stalled(time_point now) const;

private:
    struct instance_status {
        instance_id id;
        log_position received;
        std::optional<time_point> last_response;
    };

    [[nodiscard]] std::size_t majority() const noexcept { return instances_.size() / 2 + 1; }
    [[nodiscard]] log_position majority_position() const;
    [[nodiscard]] log_position primary_position() const;

    replication_stall_detector_settings settings_;
    term_number term_;
    instance_id primary_;
    std::vector<instance_status> instances_;
    log_position last_majority_position_;
    std::optional<time_point> lagging_since_;
};

}  // namespace masticgrade
