#include "masticgrade/failover/failure_detector.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

failure_detector::failure_detector(host_id self, failure_detector_settings settings)
    : self_(std::move(self)), settings_(settings) {}

detector_actions failure_detector::on_monitors(std::vector<host_id> ranked, time_point now) {
    MG_PRECONDITION(std::find(ranked.begin(), ranked.end(), self_) != ranked.end());
    std::vector<monitor_view> monitors;
    for (auto& id : ranked) {
        monitor_view view;
        const auto known = std::find_if(monitors_.begin(), monitors_.end(),
                                        [&](const auto& monitor) { return monitor.id == id; });
        if (known != monitors_.end()) {
            view = std::move(*known);
        } else {
            view.id = std::move(id);
        }
        monitors.push_back(std::move(view));
    }
    monitors_ = std::move(monitors);
    return evaluated(now);
}

detector_actions failure_detector::on_group(std::vector<instance_id> instances,
                                            const group_record& record, time_point now) {
    std::vector<instance_view> views;
    for (auto& id : instances) {
        if (auto* known = find(id); known != nullptr) {
            views.push_back(std::move(*known));
        } else {
            views.push_back({std::move(id), now, std::nullopt});
        }
    }
    instances_ = std::move(views);
    const bool newer = !record_known_ || record.version > record_.version;
    if (newer) {
        const bool new_term = record_known_ && record.term > record_.term;
        if (record.phase == group_phase::active && !record.primary.empty()) {
            incomplete_attempts_ = 0;
            term_change_seen_ = record_known_;
        } else if (new_term && !has_primary()) {
            ++incomplete_attempts_;
        }
        record_ = record;
        record_known_ = true;
        record_since_ = now;
        restart_observation(now);
    }
    return evaluated(now);
}

detector_actions failure_detector::on_monitor_reachable(const host_id& monitor, bool reachable,
                                                        time_point now) {
    for (auto& view : monitors_) {
        if (view.id == monitor) {
            view.reachable = reachable;
        }
    }
    return evaluated(now);
}

detector_actions failure_detector::on_response(const instance_id& instance, term_number term,
                                               time_point now) {
    if (auto* view = find(instance); view != nullptr) {
        view->unanswered_since.reset();
        const bool primary = has_primary() && instance == record_.primary;
        const auto interval = primary ? settings_.probe_interval : settings_.replica_probe_interval;
        view->next_probe = now + interval;
        // A primary that holds an older term was restarted with an older log or is another
        // instance at the same address; it cannot serve.
        if (primary && term >= record_.term) {
            last_success_ = now;
        }
    }
    return evaluated(now);
}

detector_actions failure_detector::on_state(const instance_state& state, time_point now) {
    const auto& instance = state.progress.instance;
    const auto term = state.progress.term;
    const bool primary = has_primary() && instance == record_.primary;
    if (primary && state.role != instance_role::primary && term <= record_.term) {
        // It answers, but it does not serve as primary: silence would be no worse.
        if (auto* view = find(instance); view != nullptr) {
            view->unanswered_since.reset();
            view->next_probe = now + settings_.probe_interval;
        }
        return evaluated(now);
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
    for (auto& view : monitors_) {
        if (view.id != monitor || view.id == self_ || term < view.suspected_term) {
            continue;
        }
        view.suspected_term = term;
        view.suspected_at = suspected ? std::optional{now} : std::nullopt;
        // It was just heard from.
        view.reachable = true;
    }
    return evaluated(now);
}

detector_actions failure_detector::on_attempt_ended(time_point now) {
    attempt_running_ = false;
    // An attempt that failed, for example because the store is down, is not repeated at once.
    next_attempt_ = now + settings_.stalled_attempt_timeout;
    return evaluated(now);
}

detector_actions failure_detector::on_time(time_point now) { return evaluated(now); }

time_point failure_detector::next_wakeup() const {
    // Half of the pause limit, so that an idle detector is not taken for a paused one.
    auto wakeup = last_event_ + settings_.pause_threshold / 2;
    for (const auto& instance : instances_) {
        const bool primary = has_primary() && instance.id == record_.primary;
        if (primary || probes_replicas()) {
            wakeup = std::min(wakeup, instance.next_probe);
        }
    }
    if (has_primary() && !suspected_since_) {
        wakeup = std::min(wakeup, last_success_ + settings_.suspicion_timeout);
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
    for (const auto& view : monitors_) {
        const bool self = view.id == self_;
        const bool theirs = view.suspected_at && view.suspected_term == record_.term &&
                            now - *view.suspected_at <= settings_.suspicion_lifetime;
        count += (self ? suspected_since_.has_value() : theirs) ? 1 : 0;
    }
    return count;
}

duration failure_detector::rank_wait() const {
    duration wait{};
    for (const auto& view : monitors_) {
        if (view.id == self_) {
            break;
        }
        wait += view.reachable ? settings_.rank_delay : milliseconds{0};
    }
    return wait;
}

bool failure_detector::probes_replicas() const {
    return !monitors_.empty() && rank_wait() == duration::zero();
}

duration failure_detector::stalled_wait() const {
    auto wait = settings_.stalled_attempt_timeout;
    for (unsigned i = 1; i < incomplete_attempts_ && wait < settings_.max_stalled_attempt_timeout;
         ++i) {
        wait *= 2;
    }
    return std::min(wait, settings_.max_stalled_attempt_timeout);
}

time_point failure_detector::promotion_due(time_point now) const {
    if (!has_primary()) {
        return std::max(next_attempt_, record_since_ + stalled_wait() + rank_wait());
    }
    auto due = std::max(next_attempt_, agreed_since_.value_or(now) + rank_wait());
    if (term_change_seen_) {
        const auto damped_until =
            std::min(record_since_ + settings_.failover_cooldown,
                     std::max(last_success_, record_since_) + settings_.new_primary_timeout);
        due = std::max(due, damped_until);
    }
    return due;
}

failure_detector::instance_view* failure_detector::find(const instance_id& instance) {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& view) { return view.id == instance; });
    return found == instances_.end() ? nullptr : &*found;
}

void failure_detector::restart_observation(time_point now) {
    last_success_ = now;
    suspected_since_.reset();
    agreed_since_.reset();
    for (auto& view : instances_) {
        view.unanswered_since.reset();
        view.next_probe = now;
    }
}

detector_actions failure_detector::evaluated(time_point now) {
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
    for (auto& view : instances_) {
        const bool primary = has_primary() && view.id == record_.primary;
        if (view.next_probe > now || (!primary && !probes_replicas())) {
            continue;
        }
        actions.emplace_back(
            probe_instance{view.id, record_.term, view.unanswered_since.has_value()});
        view.unanswered_since = view.unanswered_since.value_or(now);
        view.next_probe =
            now + (primary ? settings_.probe_interval : settings_.replica_probe_interval);
    }
}

void failure_detector::update_suspicion(time_point now, detector_actions& actions) {
    const bool silent = has_primary() && now - last_success_ >= settings_.suspicion_timeout;
    if (silent && (!suspected_since_ || next_report_ <= now)) {
        suspected_since_ = suspected_since_.value_or(now);
        report(now, true, actions);
    } else if (!silent && suspected_since_) {
        suspected_since_.reset();
        report(now, false, actions);
    }
    // A group with one monitor has nobody else to ask.
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
    for (const auto& view : monitors_) {
        if (view.id != self_) {
            message.recipients.push_back(view.id);
        }
    }
    if (!message.recipients.empty()) {
        actions.emplace_back(std::move(message));
    }
}

}  // namespace masticgrade
