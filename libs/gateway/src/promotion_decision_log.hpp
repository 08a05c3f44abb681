#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "gateway_metrics.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/gateway/acknowledged_positions.hpp"
#include "masticgrade/gateway/promotion_choice.hpp"

namespace masticgrade {

/// A decision of a failover attempt, and what it rests on.
struct promotion_decision {
    /// The fencing token of the attempt.
    std::uint64_t fence = 0;
    target_verdict verdict;
    /// The best replica, if all listed ones are held.
    std::optional<promotion_choice> choice = {};
    /// The listed replicas, as of `held_at`.
    std::vector<promotion_candidate> replicas = {};
    boot_time held_at = {};
    unheld_logs others = {};
    acknowledgement_census census = {};
    census_result acknowledged = {};
};

/// Logs the decisions of a group's failovers and counts the refused attempts by reason.
///
/// Each attempt takes decisions in short intervals. A line is written for the first one of an
/// attempt and whenever the verdict changes. Thread safety: none.
class promotion_decision_log {
public:
    /// Precondition: `metrics` outlives this object.
    promotion_decision_log(group_id group, gateway_metrics& metrics)
        : group_(std::move(group)), metrics_(metrics) {}

    void record(const promotion_decision& decision);
    /// The attempt ends without a promotion, for the reason recorded last.
    void on_attempt_refused();

private:
    void write(const promotion_decision& decision) const;

    group_id group_;
    gateway_metrics& metrics_;
    std::uint64_t fence_ = 0;
    std::optional<target_verdict> verdict_;
};

}  // namespace masticgrade
