#include "masticgrade/failover/failure_detector.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

failure_detector::failure_detector(host_id self, failure_detector_settings settings)
    : self_(std::move(self)), settings_(settings) {}

detector_actions failure_detector::on_monitors(std::vector<host_id> ranked, time_point now) {
    MG_PRECONDITION(std::find(ranked.begin(), ranked.end(), self_) != ranked.end());
    std::vector<monitor_status> monitors;
    for (auto& id : ranked) {
        monitor_status status;
        const auto known = std::find_if(monitors_.begin(), monitors_.end(),
                                        [&](const auto& monitor) { return monitor.id == id; });
        if (known != monitors_.end()) {
            status = std::move(*known);
        } else {
            status.id = std::move(id);
        }
        monitors.push_back(std::move(status));
    }
    monitors_ = std::move(monitors);
    return evaluate_at(now);
}

detector_actions failure_detector::on_group(std::vector<instance_id> instances,
                                            const group_record& record, time_point now) {
    std::vector<instance_status> statuses;
    for (auto& id : instances) {
        if (auto* known = find(id); known != nullptr) {
            statuses.push_back(std::move(*known));
        } else {
            statuses.push_back({std::move(id), now, std::nullopt});
        }
    }
    instances_ = std::move(statuses);
    const bool newer = !record_known_ || record.version > record_.version;
    if (newer) {
        const bool new_term = record_known_ && record.term > record_.term;
        if (record.phase == group_phase::active && !record.primary.empty()) {
            incomplete_attempts_ = 0;
            cooldown_applies_ = record_known_;
        } else if (new_term && !has_primary()) {
            ++incomplete_attempts_;
        }
        record_ = record;
        record_known_ = true;
        record_received_at_ = now;
        restart_observation(now);
    }
    return evaluate_at(now);
}

detector_actions failure_detector::on_monitor_reachable(const host_id& monitor, bool reachable,
                                                        time_point now) {
    for (auto& status : monitors_) {
        if (status.id == monitor) {
            status.reachable = reachable;
        }
    }
    return evaluate_at(now);
}

detector_actions failure_detector::on_response(const instance_id& instance, term_number term,
                                               time_point now) {
    if (auto* status = find(instance); status != nullptr) {
        status->unanswered_since.reset();
        const bool primary = has_primary() && instance == record_.primary;
        const auto interval = primary ? settings_.probe_interval : settings_.replica_probe_interval;
        status->next_probe = now + interval;
        // A primary with an older term was restarted with an older log or is another instance at
        // the same address. It cannot act as primary.
        if (primary && term >= record_.term) {
            last_response_ = now;
        }
    }
    return evaluate_at(now);
}

detector_actions failure_detector::on_state(const instance_state& state, time_point now) {
    const auto& instance = state.progress.instance;
    const auto term = state.progress.term;
    const bool primary = has_primary() && instance == record_.primary;
    if (primary && state.role != instance_role::primary && term <= record_.term) {
        // The instance responds but does not act as primary. This is handled like no response.
        if (auto* status = find(instance); status != nullptr) {
            status->unanswered_since.reset();
            status->next_probe = now + settings_.probe_interval;
        }
        return evaluate_at(now);
    }
    auto actions = on_response(instance, term, now);
    const bool behind =
        term < record_.term || (term == record_.term && state.role == instance_role::sealed);
    if (has_primary() && !primary && behind && !attempt_running_ && find(instance) != nullptr) {
        actions.emplace_back(repair_follower{instance, record_.primary, record_.term});
    }
    return actions;
}

detector_actions failure_detector::on_suspicion(const host_id& monitor, term_number term,
                                                bool suspected, time_point now) {
    for (auto& status : monitors_) {
        if (status.id != monitor || status.id == self_ || term < status.suspected_term) {
            continue;
        }
        status.suspected_term = term;
        status.suspected_at = suspected ? std::optional{now} : std::nullopt;
        // The report shows that the monitor is reachable.
        status.reachable = true;
    }
    return evaluate_at(now);
}

detector_actions failure_detector::on_attempt_ended(time_point now) {
    attempt_running_ = false;
    // A failed attempt, for example while the store is unavailable, is not retried immediately.
    earliest_next_attempt_ = now + settings_.stalled_attempt_timeout;
    return evaluate_at(now);
}

detector_actions failure_detector::on_time(time_point now) { return evaluate_at(now); }

time_point failure_detector::next_wakeup() const {
    // Half of the pause threshold, so that an idle detector is not taken for a suspended one.
    auto wakeup = last_event_ + settings_.pause_threshold / 2;
    for (const auto& instance : instances_) {
        const bool primary = has_primary() && instance.id == record_.primary;
        if (primary || probes_replicas()) {
            wakeup = std::min(wakeup, instance.next_probe);
        }
    }
    if (has_primary() && !suspected_since_) {
        wakeup = std::min(wakeup, last_response_ + settings_.suspicion_timeout);
    }
    if (suspected_since_) {
        wakeup = std::min(wakeup, next_report_);
    }
    if (!attempt_running_ && record_known_ && !instances_.empty() &&
        (agreed_since_ || !has_primary())) {
        wakeup = std::min(wakeup, promotion_due(last_event_));
    }
    return std::max(wakeup, last_event_);
}

bool failure_detector::has_primary() const noexcept {
    return record_known_ && record_.phase == group_phase::active && !record_.primary.empty();
}

std::size_t failure_detector::agreeing_monitors(time_point now) const {
    std::size_t count = 0;
    for (const auto& status : monitors_) {
        const bool self = status.id == self_;
        const bool suspects = status.suspected_at && status.suspected_term == record_.term &&
                              now - *status.suspected_at <= settings_.suspicion_lifetime;
        count += (self ? suspected_since_.has_value() : suspects) ? 1 : 0;
    }
    return count;
}

duration failure_detector::total_rank_delay() const {
    duration wait{};
    for (const auto& status : monitors_) {
        if (status.id == self_) {
            break;
        }
        wait += status.reachable ? settings_.rank_delay : milliseconds{0};
    }
    return wait;
}

bool failure_detector::probes_replicas() const {
    return !monitors_.empty() && total_rank_delay() == duration::zero();
}

duration failure_detector::current_stalled_attempt_timeout() const {
    auto wait = settings_.stalled_attempt_timeout;
    for (unsigned i = 1; i < incomplete_attempts_ && wait < settings_.max_stalled_attempt_timeout;
         ++i) {
        wait *= 2;
    }
    return std::min(wait, settings_.max_stalled_attempt_timeout);
}

time_point failure_detector::promotion_due(time_point now) const {
    if (!has_primary()) {
        return std::max(
            earliest_next_attempt_,
            record_received_at_ + current_stalled_attempt_timeout() + total_rank_delay());
    }
    auto due = std::max(earliest_next_attempt_, agreed_since_.value_or(now) + total_rank_delay());
    if (cooldown_applies_) {
        const auto cooldown_end =
            std::min(record_received_at_ + settings_.failover_cooldown,
                     std::max(last_response_, record_received_at_) + settings_.new_primary_timeout);
        due = std::max(due, cooldown_end);
    }
    return due;
}

failure_detector::instance_status* failure_detector::find(const instance_id& instance) {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& status) { return status.id == instance; });
    return found == instances_.end() ? nullptr : &*found;
}

void failure_detector::restart_observation(time_point now) {
    last_response_ = now;
    suspected_since_.reset();
    agreed_since_.reset();
    for (auto& status : instances_) {
        status.unanswered_since.reset();
        status.next_probe = now;
    }
}

detector_actions failure_detector::evaluate_at(time_point now) {
    detector_actions actions;
    if (now - last_event_ > settings_.pause_threshold) {
        if (suspected_since_) {
            report(now, false, actions);
        }
        restart_observation(now);
    }
    last_event_ = now;
    if (record_known_ && !monitors_.empty()) {
        evaluate(now, actions);
    }
    return actions;
}

void failure_detector::evaluate(time_point now, detector_actions& actions) {
    send_probes(now, actions);
    update_suspicion(now, actions);
    decide_promotion(now, actions);
}

void failure_detector::send_probes(time_point now, detector_actions& actions) {
    for (auto& status : instances_) {
        const bool primary = has_primary() && status.id == record_.primary;
        if (status.next_probe > now || (!primary && !probes_replicas())) {
            continue;
        }
        actions.emplace_back(
            probe_instance{status.id, record_.term, status.unanswered_since.has_value()});
        status.unanswered_since = status.unanswered_since.value_or(now);
        status.next_probe =
            now + (primary ? settings_.probe_interval : settings_.replica_probe_interval);
    }
}

void failure_detector::update_suspicion(time_point now, detector_actions& actions) {
    const bool unresponsive = has_primary() && now - last_response_ >= settings_.suspicion_timeout;
    if (unresponsive && (!suspected_since_ || next_report_ <= now)) {
        suspected_since_ = suspected_since_.value_or(now);
        report(now, true, actions);
    } else if (!unresponsive && suspected_since_) {
        suspected_since_.reset();
        report(now, false, actions);
    }
    // The suspicion of a single monitor is sufficient if the group has no other monitor.
    const std::size_t needed = std::min<std::size_t>(2, monitors_.size());
    if (suspected_since_ && agreeing_monitors(now) >= needed) {
        agreed_since_ = agreed_since_.value_or(now);
    } else {
        agreed_since_.reset();
    }
}

void failure_detector::decide_promotion(time_point now, detector_actions& actions) {
    const bool wanted = agreed_since_.has_value() || !has_primary();
    if (attempt_running_ || !wanted || instances_.empty() || promotion_due(now) > now) {
        return;
    }
    attempt_running_ = true;
    const auto cause =
        has_primary() ? promotion_cause::unreachable_primary : promotion_cause::stalled_attempt;
    actions.emplace_back(start_promotion{record_, cause});
}

void failure_detector::report(time_point now, bool suspected, detector_actions& actions) {
    next_report_ = now + settings_.probe_interval;
    report_suspicion message{record_.term, suspected, {}};
    for (const auto& status : monitors_) {
        if (status.id != self_) {
            message.recipients.push_back(status.id);
        }
    }
    if (!message.recipients.empty()) {
        actions.emplace_back(std::move(message));
    }
}

}  // namespace masticgrade
