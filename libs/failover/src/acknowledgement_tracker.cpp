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
        instance_status status;
        status.id = std::move(id);
        instances_.push_back(std::move(status));
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
    fail_pending_writes(actions);
    term_ = term;
    accepting_ = true;
    primary_ = primary;
    start_position_ = start_position;
    for (auto& instance : instances_) {
        instance.received = log_position{};
        instance.request_deadline.reset();
        instance.earliest_next_confirm = now;
    }
    return actions;
}

acknowledgement_actions acknowledgement_tracker::on_newer_term(term_number term, time_point) {
    acknowledgement_actions actions;
    if (term > term_) {
        fail_pending_writes(actions);
        term_ = term;
        accepting_ = false;
    }
    return actions;
}

acknowledgement_actions acknowledgement_tracker::on_write(const pending_write& write,
                                                          time_point now) {
    if (write.term != term_ || !accepting_) {
        // Whether a write of a term that is unknown to this host is confirmed depends on the start
        // position of that term.
        const auto outcome =
            write.term > term_ ? write_outcome::timed_out : write_outcome::stale_term;
        return {write_resolved{write.number, outcome}};
    }
    if (auto* primary = find(primary_); primary != nullptr) {
        primary->term = std::max(primary->term, write.term);
        primary->received = std::max({primary->received, write.position, write.primary_received});
    }
    writes_by_position_.emplace(std::max(write.position, start_position_),
                                tracked_write{write.number, write.deadline});
    writes_by_deadline_.emplace(write.deadline, write.number);
    return update(now);
}

acknowledgement_actions acknowledgement_tracker::on_confirm(const confirm_response& response,
                                                            time_point now) {
    auto* instance = find(response.instance);
    if (instance == nullptr) {
        return {};
    }
    instance->request_deadline.reset();
    instance->term = std::max(instance->term, response.term);
    const bool confirms = accepting_ && response.term == term_ && response.log_term == term_;
    if (confirms && response.received > instance->received) {
        instance->received = response.received;
    } else {
        instance->earliest_next_confirm = now + settings_.confirm_retry_delay;
    }
    return update(now);
}

acknowledgement_actions acknowledgement_tracker::on_confirm_failed(const instance_id& instance,
                                                                   time_point now) {
    if (auto* status = find(instance); status != nullptr) {
        status->request_deadline.reset();
        status->earliest_next_confirm = now + settings_.confirm_retry_delay;
    }
    return update(now);
}

acknowledgement_actions acknowledgement_tracker::on_time(time_point now) { return update(now); }

std::optional<time_point> acknowledgement_tracker::next_wakeup() const {
    if (writes_by_position_.empty()) {
        return std::nullopt;
    }
    auto wakeup = writes_by_deadline_.begin()->first;
    const auto highest = writes_by_position_.rbegin()->first;
    for (const auto& instance : instances_) {
        if (instance.id != primary_ && instance.received < highest) {
            wakeup = std::min(wakeup,
                              instance.request_deadline.value_or(instance.earliest_next_confirm));
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
    const auto median = instances_.size() / 2;
    std::nth_element(received.begin(), received.begin() + static_cast<std::ptrdiff_t>(median),
                     received.end(), std::greater<>{});
    return received[median];
}

std::size_t acknowledgement_tracker::count_holders(log_position position) const {
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& instance) { return instance.received >= position; }));
}

bool acknowledgement_tracker::majority_lost() const {
    const auto newer = static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& instance) { return instance.term > term_; }));
    return newer > instances_.size() - (instances_.size() / 2 + 1);
}

acknowledgement_tracker::instance_status* acknowledgement_tracker::find(
    const instance_id& instance) {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& known) { return known.id == instance; });
    return found == instances_.end() ? nullptr : &*found;
}

void acknowledgement_tracker::fail_pending_writes(acknowledgement_actions& actions) {
    for (const auto& [position, write] : writes_by_position_) {
        actions.emplace_back(write_resolved{write.number, write_outcome::stale_term});
    }
    writes_by_position_.clear();
    writes_by_deadline_.clear();
}

void acknowledgement_tracker::resolve_confirmed(time_point now, acknowledgement_actions& actions) {
    const auto confirmed = majority_position();
    while (!writes_by_position_.empty() && writes_by_position_.begin()->first <= confirmed) {
        const auto position = writes_by_position_.begin()->first;
        const auto write = writes_by_position_.begin()->second;
        MG_INVARIANT(
            "acknowledged_by_majority",
            accepting_ && position >= start_position_ &&
                count_holders(position) >= instances_.size() / 2 + 1,
            fmt::format("term={} target={} start={} holders={} instances={}", term_, position,
                        start_position_, count_holders(position), instances_.size()));
        // A confirmation after the deadline is too late, because the caller was already told that
        // the write timed out.
        const auto outcome =
            write.deadline < now ? write_outcome::timed_out : write_outcome::acknowledged;
        actions.emplace_back(write_resolved{write.number, outcome});
        const auto [first, last] = writes_by_deadline_.equal_range(write.deadline);
        writes_by_deadline_.erase(std::find_if(
            first, last, [&](const auto& entry) { return entry.second == write.number; }));
        writes_by_position_.erase(writes_by_position_.begin());
    }
    if (majority_lost()) {
        fail_pending_writes(actions);
    }
}

void acknowledgement_tracker::resolve_expired(time_point now, acknowledgement_actions& actions) {
    if (writes_by_deadline_.empty() || writes_by_deadline_.begin()->first > now) {
        return;
    }
    for (auto entry = writes_by_position_.begin(); entry != writes_by_position_.end();) {
        if (entry->second.deadline <= now) {
            actions.emplace_back(write_resolved{entry->second.number, write_outcome::timed_out});
            entry = writes_by_position_.erase(entry);
        } else {
            ++entry;
        }
    }
    writes_by_deadline_.erase(writes_by_deadline_.begin(), writes_by_deadline_.upper_bound(now));
}

void acknowledgement_tracker::request_confirms(time_point now, acknowledgement_actions& actions) {
    if (writes_by_position_.empty()) {
        return;
    }
    // A confirmed position covers all lower ones, so one request serves every pending write.
    const auto highest = writes_by_position_.rbegin()->first;
    const auto deadline =
        std::min(writes_by_deadline_.rbegin()->first, time_point{now + settings_.confirm_timeout});
    for (auto& instance : instances_) {
        if (instance.id == primary_ || instance.received >= highest) {
            continue;
        }
        if (instance.request_deadline && *instance.request_deadline <= now) {
            instance.request_deadline.reset();
        }
        if (instance.request_deadline || instance.earliest_next_confirm > now) {
            continue;
        }
        instance.request_deadline = deadline;
        actions.emplace_back(send_confirm{instance.id, term_, highest, deadline});
    }
}

acknowledgement_actions acknowledgement_tracker::update(time_point now) {
    acknowledgement_actions actions;
    resolve_confirmed(now, actions);
    resolve_expired(now, actions);
    request_confirms(now, actions);
    return actions;
}

}  // namespace masticgrade
