#include "masticgrade/usage/usage_reporter.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/fence.hpp"

namespace masticgrade {

namespace {

constexpr milliseconds retry_delay{300};
/// A record that was read longer ago is read again before a takeover.
constexpr milliseconds max_record_age{100};
/// Windows that ended longer ago are forgotten. Their reports are late under any settings.
constexpr seconds memory{120};

template <class Container>
void erase_before(Container& windows, window_number first_kept) {
    windows.erase(windows.begin(), windows.lower_bound(first_kept));
}

}  // namespace

usage_reporter::usage_reporter(identity self, usage_settings settings, boot_time started,
                               wall_time started_wall)
    : self_(std::move(self)),
      settings_(settings),
      started_(started),
      started_wall_(started_wall),
      wait_until_(started + settings.lease + lease_margin) {}

bool usage_reporter::is_holder() const {
    return known_ && known_->record && !is_lost(*known_) && known_->record->holder == self_.host &&
           known_->record->incarnation == self_.incarnation &&
           known_->record->fence > refused_fence_;
}

bool usage_reporter::is_lost(const stored_usage_record& stored) const {
    return !stored.record || stored.record->era != stored.era;
}

window_number usage_reporter::due_until(wall_time moment) const {
    return window_at(moment - settling_time, settings_.window);
}

bool usage_reporter::is_late(window_number window, wall_time now) const {
    return end_of(window, settings_.window) + settings_.late <= now;
}

bool usage_reporter::is_complete(window_number window, const view& state) const {
    const auto end = end_of(window, settings_.window);
    return state.wall >= end + settling_time + patience ||
           state.collector.missing(state.live_hosts, end + answer_time).empty();
}

std::optional<usage_step> usage_reporter::next(const view& state) {
    forget_old_windows(state.wall);
    if (state.now < wait_until_ || !state.rank) {
        return std::nullopt;
    }
    return is_holder() ? next_as_holder(state) : next_as_candidate(state);
}

std::optional<usage_step> usage_reporter::next_as_holder(const view& state) {
    const auto& record = *known_->record;
    write_record_step step{record, known_->version, known_->era};
    const auto* unsent = first_unsent(record);
    if (unsent != nullptr && committed_at_ && state.now - *committed_at_ <= commit_validity) {
        return send_report_step{*unsent, record.fence};
    }
    add_due_windows(step, state);
    if (step.record.next_window > record.next_window) {
        step.cause = write_record_step::reason::windows;
        return step;
    }
    if (unsent != nullptr) {
        return step;
    }
    return std::nullopt;
}

std::optional<usage_step> usage_reporter::next_as_candidate(const view& state) {
    if (!known_) {
        return read_record_step{};
    }
    if (!takeover_is_due(state)) {
        return std::nullopt;
    }
    if (state.now - known_at_ > max_record_age) {
        return read_record_step{};
    }
    return take_over(state);
}

bool usage_reporter::takeover_is_due(const view& state) const {
    if (last_call_ && state.now - *last_call_ < settings_.lease + lease_margin) {
        return false;
    }
    const auto rank = static_cast<milliseconds::rep>(*state.rank);
    const bool is_own = known_->record && known_->record->holder == self_.host;
    const bool is_vacant = is_own || is_lost(*known_);
    const auto wait = (is_own ? milliseconds{0} : handover_time) +
                      (is_vacant ? rank * takeover_interval : milliseconds{0});
    if (state.now - unchanged_since_ < wait) {
        return false;
    }
    return is_vacant ||
           due_until(state.wall - (rank + 1) * takeover_interval) > known_->record->next_window;
}

write_record_step usage_reporter::take_over(const view& state) {
    const auto& stored = *known_;
    write_record_step step;
    step.version = stored.version;
    step.era = stored.era;
    step.cause = write_record_step::reason::takeover;
    auto& record = step.record;
    record = stored.record.value_or(usage_record{});
    // Each takeover of an era reads a higher version than the earlier ones, also if a commit of an
    // earlier era has overwritten their records.
    record.fence = std::max({record.fence, own_fence_, refused_fence_,
                             fence_base(stored.era) + stored.version.value()}) +
                   1;
    record.holder = self_.host;
    record.incarnation = self_.incarnation;
    record.era = stored.era;
    if (is_lost(stored)) {
        // Another host may have reported any window that has ended, under a record that is lost.
        const bool is_first = !stored.record && stored.version == fleet_version{} &&
                              stored.era <= store_era{1} && recorded_.empty();
        const auto open = window_at(is_first ? started_wall_ : state.wall, settings_.window);
        const auto next = std::max({record.next_window, recorded_until_, open});
        if (stored.record) {
            step.skipped = next.value() - std::max(record.next_window, recorded_until_).value();
        }
        record.next_window = next;
        // The store may have accepted the record for a row of an earlier era, so its counts may
        // differ from those that were reported.
        record.unconfirmed.clear();
        for (const auto window : recorded_) {
            if (!confirmed_.contains(window)) {
                record.unconfirmed.push_back({window, computed_.at(window)});
            }
        }
    }
    add_due_windows(step, state);
    return step;
}

void usage_reporter::add_due_windows(write_record_step& step, const view& state) {
    auto& record = step.record;
    std::erase_if(record.unconfirmed, [&](const auto& report) {
        return confirmed_.contains(report.window) || is_late(report.window, state.wall);
    });
    const auto until = due_until(state.wall);
    // The number of windows missed while no host reported may be large.
    const auto first_in_time = window_at(state.wall - settings_.late, settings_.window);
    if (record.next_window < first_in_time) {
        step.skipped += first_in_time.value() - record.next_window.value();
        record.next_window = first_in_time;
    }
    while (record.next_window < until && is_complete(record.next_window, state)) {
        const auto window = record.next_window;
        const auto [entry, added] = computed_.try_emplace(window);
        if (added) {
            entry->second = state.collector.totals(window);
        }
        record.unconfirmed.push_back({window, entry->second});
        record.next_window = window.next();
    }
}

const window_usage* usage_reporter::first_unsent(const usage_record& record) const {
    const auto found =
        std::find_if(record.unconfirmed.begin(), record.unconfirmed.end(),
                     [&](const auto& report) { return !confirmed_.contains(report.window); });
    return found == record.unconfirmed.end() ? nullptr : &*found;
}

void usage_reporter::on_record(const stored_usage_record& record, boot_time now) {
    known_ = record;
    known_at_ = now;
    if (record.version != seen_version_ || record.era != seen_era_) {
        seen_version_ = record.version;
        seen_era_ = record.era;
        unchanged_since_ = now;
    }
    if (is_holder()) {
        // The answer to the commit of this record may have been lost.
        own_fence_ = std::max(own_fence_, record.record->fence);
        recorded_until_ = std::max(recorded_until_, record.record->next_window);
        for (const auto& report : record.record->unconfirmed) {
            computed_[report.window] = report.counts;
            recorded_.insert(report.window);
        }
    }
}

void usage_reporter::on_store_failed(boot_time now) {
    known_.reset();
    wait_until_ = now + retry_delay;
}

void usage_reporter::on_commit(const write_record_step& step, bool committed, fleet_version version,
                               store_era era, boot_time sent_at) {
    // In another era the expected version may have belonged to another record.
    if (!committed || era != step.era) {
        known_.reset();
        return;
    }
    committed_at_ = sent_at;
    on_record({step.record, version, era}, sent_at);
}

void usage_reporter::on_sent(const send_report_step& step, report_outcome outcome, boot_time now) {
    last_call_ = now;
    if (outcome != report_outcome::unknown) {
        failing_since_.reset();
    }
    switch (outcome) {
        case report_outcome::done:
            confirmed_.insert(step.report.window);
            break;
        case report_outcome::refused:
            refused_fence_ = std::max(refused_fence_, step.fence);
            known_.reset();
            break;
        case report_outcome::unknown:
            wait_until_ = now + retry_delay;
            if (!failing_since_) {
                failing_since_ = now;
            } else if (now - *failing_since_ >= failing_time) {
                failing_since_.reset();
                wait_until_ = now + yield_time;
            }
            break;
    }
}

void usage_reporter::forget_old_windows(wall_time now) {
    const auto first_kept = window_at(now - memory, settings_.window);
    erase_before(computed_, first_kept);
    erase_before(recorded_, first_kept);
    erase_before(confirmed_, first_kept);
}

}  // namespace masticgrade
