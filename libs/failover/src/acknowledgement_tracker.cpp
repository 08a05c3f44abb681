#include "masticgrade/failover/acknowledgement_tracker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

acknowledgement_tracker::acknowledgement_tracker(std::vector<instance_id> instances,
                                                 acknowledgement_tracker_settings settings)
    : settings_(settings) {
    MG_PRECONDITION(!instances.empty());
    for (auto& id : instances) {
        MG_PRECONDITION(find(id) == nullptr);
        instance_evidence evidence;
        evidence.id = std::move(id);
        instances_.push_back(std::move(evidence));
    }
}

acknowledgement_actions acknowledgement_tracker::on_term(term_number term,
                                                         const instance_id& primary,
                                                         log_position start_position,
                                                         time_point now) {
    acknowledgement_actions actions;
    if (term < term_ || (term == term_ && accepting_)) {
        return actions;
    }
    end_term(actions);
    term_ = term;
    accepting_ = true;
    primary_ = primary;
    start_position_ = start_position;
    for (auto& instance : instances_) {
        instance.received = log_position{};
        instance.outstanding_until.reset();
        instance.next_confirm = now;
    }
    return actions;
}

acknowledgement_actions acknowledgement_tracker::on_newer_term(term_number term, time_point) {
    acknowledgement_actions actions;
    if (term > term_) {
        end_term(actions);
        term_ = term;
        accepting_ = false;
    }
    return actions;
}

acknowledgement_actions acknowledgement_tracker::on_write(const pending_write& write,
                                                          time_point now) {
    if (write.term != term_ || !accepting_) {
        // A write of a term that this host has not heard of yet cannot be judged without the
        // start position of that term.
        const auto outcome =
            write.term > term_ ? write_outcome::timed_out : write_outcome::stale_term;
        return {write_resolved{write.number, outcome}};
    }
    if (auto* primary = find(primary_); primary != nullptr) {
        primary->term = std::max(primary->term, write.term);
        primary->received = std::max({primary->received, write.position, write.primary_received});
    }
    by_target_.emplace(std::max(write.position, start_position_),
                       waiting_write{write.number, write.deadline});
    by_deadline_.emplace(write.deadline, write.number);
    return step(now);
}

acknowledgement_actions acknowledgement_tracker::on_confirm(const confirm_response& answer,
                                                            time_point now) {
    auto* instance = find(answer.instance);
    if (instance == nullptr) {
        return {};
    }
    instance->outstanding_until.reset();
    instance->term = std::max(instance->term, answer.term);
    const bool confirms = accepting_ && answer.term == term_ && answer.log_term == term_;
    if (confirms && answer.received > instance->received) {
        instance->received = answer.received;
    } else {
        instance->next_confirm = now + settings_.confirm_retry_delay;
    }
    return step(now);
}

acknowledgement_actions acknowledgement_tracker::on_confirm_failed(const instance_id& instance,
                                                                   time_point now) {
    if (auto* evidence = find(instance); evidence != nullptr) {
        evidence->outstanding_until.reset();
        evidence->next_confirm = now + settings_.confirm_retry_delay;
    }
    return step(now);
}

acknowledgement_actions acknowledgement_tracker::on_time(time_point now) { return step(now); }

std::optional<time_point> acknowledgement_tracker::next_wakeup() const {
    if (by_target_.empty()) {
        return std::nullopt;
    }
    auto wakeup = by_deadline_.begin()->first;
    const auto highest = by_target_.rbegin()->first;
    for (const auto& instance : instances_) {
        if (instance.id != primary_ && instance.received < highest) {
            wakeup = std::min(wakeup, instance.outstanding_until.value_or(instance.next_confirm));
        }
    }
    return wakeup;
}

log_position acknowledgement_tracker::majority_position() const {
    std::vector<log_position> received;
    received.reserve(instances_.size());
    for (const auto& instance : instances_) {
        received.push_back(instance.received);
    }
    const auto majority = instances_.size() / 2;
    std::nth_element(received.begin(), received.begin() + static_cast<std::ptrdiff_t>(majority),
                     received.end(), std::greater<>{});
    return received[majority];
}

std::size_t acknowledgement_tracker::holders(log_position target) const {
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& instance) { return instance.received >= target; }));
}

bool acknowledgement_tracker::majority_lost() const {
    const auto newer = static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& instance) { return instance.term > term_; }));
    return newer > instances_.size() - (instances_.size() / 2 + 1);
}

acknowledgement_tracker::instance_evidence* acknowledgement_tracker::find(
    const instance_id& instance) {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& known) { return known.id == instance; });
    return found == instances_.end() ? nullptr : &*found;
}

void acknowledgement_tracker::end_term(acknowledgement_actions& actions) {
    for (const auto& [target, write] : by_target_) {
        actions.emplace_back(write_resolved{write.number, write_outcome::stale_term});
    }
    by_target_.clear();
    by_deadline_.clear();
}

void acknowledgement_tracker::resolve(time_point now, acknowledgement_actions& actions) {
    const auto confirmed = majority_position();
    while (!by_target_.empty() && by_target_.begin()->first <= confirmed) {
        const auto target = by_target_.begin()->first;
        const auto write = by_target_.begin()->second;
        MG_INVARIANT(
            "acknowledged_by_majority",
            accepting_ && target >= start_position_ && holders(target) >= instances_.size() / 2 + 1,
            fmt::format("term={} target={} start={} holders={} instances={}", term_, target,
                        start_position_, holders(target), instances_.size()));
        // An answer after the deadline is worth nothing to the caller, who was told otherwise.
        const auto outcome =
            write.deadline < now ? write_outcome::timed_out : write_outcome::acknowledged;
        actions.emplace_back(write_resolved{write.number, outcome});
        const auto [first, last] = by_deadline_.equal_range(write.deadline);
        by_deadline_.erase(std::find_if(
            first, last, [&](const auto& entry) { return entry.second == write.number; }));
        by_target_.erase(by_target_.begin());
    }
    if (majority_lost()) {
        end_term(actions);
    }
}

void acknowledgement_tracker::expire(time_point now, acknowledgement_actions& actions) {
    if (by_deadline_.empty() || by_deadline_.begin()->first > now) {
        return;
    }
    for (auto entry = by_target_.begin(); entry != by_target_.end();) {
        if (entry->second.deadline <= now) {
            actions.emplace_back(write_resolved{entry->second.number, write_outcome::timed_out});
            entry = by_target_.erase(entry);
        } else {
            ++entry;
        }
    }
    by_deadline_.erase(by_deadline_.begin(), by_deadline_.upper_bound(now));
}

void acknowledgement_tracker::request_confirms(time_point now, acknowledgement_actions& actions) {
    if (by_target_.empty()) {
        return;
    }
    // The highest target covers all lower ones, so one request serves every pending write.
    const auto highest = by_target_.rbegin()->first;
    const auto deadline =
        std::min(by_deadline_.rbegin()->first, time_point{now + settings_.confirm_timeout});
    for (auto& instance : instances_) {
        if (instance.id == primary_ || instance.received >= highest) {
            continue;
        }
        if (instance.outstanding_until && *instance.outstanding_until <= now) {
            instance.outstanding_until.reset();
        }
        if (instance.outstanding_until || instance.next_confirm > now) {
            continue;
        }
        instance.outstanding_until = deadline;
        actions.emplace_back(send_confirm{instance.id, term_, highest, deadline});
    }
}

acknowledgement_actions acknowledgement_tracker::step(time_point now) {
    acknowledgement_actions actions;
    resolve(now, actions);
    expire(now, actions);
    request_confirms(now, actions);
    return actions;
}

}  // namespace masticgrade
