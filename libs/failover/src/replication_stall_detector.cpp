#include "masticgrade/failover/replication_stall_detector.hpp"

#include <algorithm>
#include <functional>

namespace masticgrade {

void replication_stall_detector::on_group(const std::vector<instance_id>& instances,
                                          const instance_id& primary, term_number term) {
    const bool unchanged =
        term == term_ && primary == primary_ &&
        std::equal(instances.begin(), instances.end(), instances_.begin(), instances_.end(),
                   [](const instance_id& id, const instance_view& view) { return id == view.id; });
    if (unchanged) {
        return;
    }
    term_ = term;
    primary_ = primary;
    instances_.clear();
    for (const auto& id : instances) {
        instances_.push_back({id, {}, {}});
    }
    last_majority_ = {};
    behind_since_.reset();
}

void replication_stall_detector::on_progress(const instance_progress& progress, time_point now) {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& view) { return view.id == progress.instance; });
    if (found == instances_.end() || progress.term != term_) {
        return;
    }
    found->received = std::max(found->received, progress.received);
    found->answered_at = now;
    const auto majority = majority_position();
    if (primary_position() <= majority) {
        behind_since_.reset();
    } else if (!behind_since_ || majority > last_majority_) {
        behind_since_ = now;
    }
    last_majority_ = majority;
}

bool replication_stall_detector::stalled(time_point now) const {
    if (!behind_since_ || now - *behind_since_ < settings_.stall_timeout) {
        return false;
    }
    // When the replicas do not answer either, this host may be the one that is cut off.
    const auto answering =
        std::count_if(instances_.begin(), instances_.end(), [&](const instance_view& view) {
            return view.id != primary_ && view.answered_at &&
                   now - *view.answered_at <= settings_.max_response_age;
        });
    return static_cast<std::size_t>(answering) >= majority();
}

log_position replication_stall_detector::majority_position() const {
    std::vector<log_position> positions;
    for (const auto& view : instances_) {
        positions.push_back(view.received);
    }
    if (positions.empty()) {
        return {};
    }
    std::sort(positions.begin(), positions.end(), std::greater<>{});
    return positions[majority() - 1];
}

log_position replication_stall_detector::primary_position() const {
    for (const auto& view : instances_) {
        if (view.id == primary_) {
            return view.received;
        }
    }
    return {};
}

}  // namespace masticgrade
