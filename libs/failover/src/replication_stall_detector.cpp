#include "masticgrade/failover/replication_stall_detector.hpp"

#include <algorithm>
#include <functional>

namespace masticgrade {

void replication_stall_detector::on_group(const std::vector<instance_id>& instances,
                                          const instance_id& primary, term_number term) {
    const bool unchanged =
        term == term_ && primary == primary_ &&
        std::equal(
            instances.begin(), instances.end(), instances_.begin(), instances_.end(),
            [](const instance_id& id, const instance_status& status) { return id == status.id; });
    if (unchanged) {
        return;
    }
    term_ = term;
    primary_ = primary;
    instances_.clear();
    for (const auto& id : instances) {
        instances_.push_back({id, {}, {}});
    }
    last_majority_position_ = {};
    lagging_since_.reset();
}

void replication_stall_detector::on_progress(const instance_progress& progress, time_point now) {
    const auto found = std::find_if(instances_.begin(), instances_.end(), [&](const auto& status) {
        return status.id == progress.instance;
    });
    if (found == instances_.end() || progress.term != term_) {
        return;
    }
    found->received = std::max(found->received, progress.received);
    found->last_response = now;
    const auto majority = majority_position();
    if (primary_position() <= majority) {
        lagging_since_.reset();
    } else if (!lagging_since_ || majority > last_majority_position_) {
        lagging_since_ = now;
    }
    last_majority_position_ = majority;
}

bool replication_stall_detector::stalled(time_point now) const {
    if (!lagging_since_ || now - *lagging_since_ < settings_.stall_timeout) {
        return false;
    }
    // If the replicas do not respond either, this host itself may be partitioned from the group.
    const auto responding =
        std::count_if(instances_.begin(), instances_.end(), [&](const instance_status& status) {
            return status.id != primary_ && status.last_response &&
                   now - *status.last_response <= settings_.max_response_age;
        });
    return static_cast<std::size_t>(responding) >= majority();
}

log_position replication_stall_detector::majority_position() const {
    std::vector<log_position> positions;
    for (const auto& status : instances_) {
        positions.push_back(status.received);
    }
    if (positions.empty()) {
        return {};
    }
    std::sort(positions.begin(), positions.end(), std::greater<>{});
    return positions[majority() - 1];
}

log_position replication_stall_detector::primary_position() const {
    for (const auto& status : instances_) {
        if (status.id == primary_) {
            return status.received;
        }
    }
    return {};
}

}  // namespace masticgrade
