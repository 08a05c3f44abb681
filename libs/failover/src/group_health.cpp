#include "masticgrade/failover/group_health.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticgrade {

namespace {

/// Weight of the newest sample in the moving average of the apply rate. Only about the last eight
/// samples have a notable effect.
constexpr double rate_weight = 0.25;
/// A shorter interval between two responses gives no usable rate.
constexpr milliseconds min_rate_sample{5};

}  // namespace

group_health::group_health(const std::vector<instance_id>& instances) { on_instances(instances); }

void group_health::on_progress(const instance_progress& progress) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        auto& health = instances_[i];
        if (health.id != progress.instance || progress.sent_at < health.newest_request_sent_at) {
            continue;
        }
        health.reachable = true;
        health.newest_request_sent_at = progress.sent_at;
        // The term of an instance never decreases, so this is a response that was delayed on
        // another connection.
        if (progress.term < health.term) {
            return;
        }
        update_rate(health, samples_[i], progress);
        health.term = progress.term;
        health.received = progress.received;
        health.applied = progress.applied;
    }
}

void group_health::on_state(const instance_state& state) {
    on_progress(state.progress);
    for (auto& health : instances_) {
        if (health.id == state.progress.instance &&
            (!health.staleness || state.progress.sent_at >= health.staleness_at)) {
            health.staleness = state.staleness;
            health.staleness_at = state.progress.sent_at;
        }
    }
}

void group_health::on_unreachable(const instance_id& instance, time_point sent_at) {
    for (auto& health : instances_) {
        if (health.id == instance && sent_at >= health.newest_request_sent_at) {
            health.reachable = false;
        }
    }
}

void group_health::on_instances(const std::vector<instance_id>& instances) {
    std::vector<instance_health> kept;
    std::vector<rate_sample> kept_samples;
    for (const auto& id : instances) {
        instance_health health;
        rate_sample sample;
        health.id = id;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (instances_[i].id == id) {
                health = instances_[i];
                sample = samples_[i];
            }
        }
        kept.push_back(std::move(health));
        kept_samples.push_back(sample);
    }
    instances_ = std::move(kept);
    samples_ = std::move(kept_samples);
}

const instance_health* group_health::find(const instance_id& instance) const {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& health) { return health.id == instance; });
    return found == instances_.end() ? nullptr : &*found;
}

std::optional<milliseconds> group_health::staleness_bound(const instance_id& instance,
                                                          time_point now) const {
    const auto* health = find(instance);
    if (health == nullptr || !health->staleness) {
        return std::nullopt;
    }
    const auto age = std::max(duration::zero(), now - health->staleness_at);
    return *health->staleness + std::chrono::ceil<milliseconds>(age);
}

log_position group_health::expected_applied(const instance_id& instance, time_point at) const {
    const auto* health = find(instance);
    if (health == nullptr) {
        return log_position{};
    }
    const std::chrono::duration<double> ahead =
        std::max(duration::zero(), at - health->newest_request_sent_at);
    const auto gained = static_cast<std::uint64_t>(health->apply_rate * ahead.count());
    return log_position{health->applied.value() + gained};
}

std::vector<instance_id> group_health::due_for_state(duration age, time_point now) const {
    std::vector<instance_id> due;
    for (const auto& health : instances_) {
        if (!health.staleness || now - health.staleness_at > age) {
            due.push_back(health.id);
        }
    }
    return due;
}

void group_health::update_rate(instance_health& health, rate_sample& sample,
                               const instance_progress& progress) {
    const bool comparable = sample.at != time_point{} && progress.term == health.term &&
                            progress.applied >= sample.applied;
    const auto elapsed = progress.sent_at - sample.at;
    if (comparable && elapsed < min_rate_sample) {
        return;
    }
    if (comparable) {
        const auto entries = static_cast<double>(progress.applied.value() - sample.applied.value());
        const double rate = entries / std::chrono::duration<double>(elapsed).count();
        health.apply_rate += rate_weight * (rate - health.apply_rate);
    } else {
        health.apply_rate = 0;
    }
    sample = {progress.sent_at, progress.applied};
}

}  // namespace masticgrade
