#pragma once

#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"

namespace masticgrade {

struct replication_stall_detector_settings {
    /// Replicas that receive nothing for this long, while the primary has entries for them, are cut
    /// off from it. Replicas that are only behind go on receiving.
    milliseconds stall_timeout{1500};
    /// Older answers of a replica say nothing about now.
    milliseconds max_response_age{1000};
};

/// Notices a primary that still answers this host but reaches no majority of its group, so that
/// none of its writes can be acknowledged (section 4.1). Every call takes the current time, which
/// never decreases. Thread safety: none; the owner serialises calls.
class replication_stall_detector {
public:
    explicit replication_stall_detector(replication_stall_detector_settings settings = {})
        : settings_(settings) {}

    /// The group's instances and its active primary; a new term starts a new observation.
    void on_group(const std::vector<instance_id>& instances, const instance_id& primary,
                  term_number term);
    /// Any answer of an instance. Answers of other terms are ignored.
    void on_progress(const instance_progress& progress, time_point now);

    /// Whether the primary has entries that no majority is known to have; the replicas should then
    /// be asked for their state.
    [[nodiscard]] bool replicas_lagging() const noexcept { return behind_since_.has_value(); }
    /// Whether a majority without the primary answers this host but receives nothing.
    [[nodiscard]] bool stalled(time_point now) const;

private:
    struct instance_view {
        instance_id id;
        log_position received;
        std::optional<time_point> answered_at;
    };

    [[nodiscard]] std::size_t majority() const noexcept { return instances_.size() / 2 + 1; }
    [[nodiscard]] log_position majority_position() const;
    [[nodiscard]] log_position primary_position() const;

    replication_stall_detector_settings settings_;
    term_number term_;
    instance_id primary_;
    std::vector<instance_view> instances_;
    log_position last_majority_;
    std::optional<time_point> behind_since_;
};

}  // namespace masticgrade
