#include "masticgrade/usage/usage_reporter.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/fence.hpp"

namespace masticgrade {

namespace {

constexpr milliseconds retry_delay{300};
/// The delay doubles with each failure of the store in a row, this often at most.
constexpr unsigned max_doublings = 2;
/// Time that a holder needs to record a window once it stops waiting for totals.
constexpr milliseconds record_time{500};
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

bool usage_reporter::hears_fleet(const view& state) {
    return 2 * state.live_hosts.size() >= state.registered_hosts;
}

bool usage_reporter::has_all_totals(window_number window, const view& state,
                                    const host_id* ignored) const {
    const auto end = end_of(window, settings_.window);
    auto hosts = state.collector.heard_since(end - settings_.window);
    hosts.insert(hosts.end(), state.live_hosts.begin(), state.live_hosts.end());
    if (ignored != nullptr) {
        std::erase(hosts, *ignored);
    }
    return state.collector.missing(hosts, end + answer_time).empty() &&
           2 * state.collector.heard_since(end + answer_time).size() >= state.registered_hosts;
}

wall_time usage_reporter::patience_end(window_number window, const view& state) const {
    const auto end = end_of(window, settings_.window);
    const auto heard = state.collector.heard_since(end + answer_time).size();
    const milliseconds usual = settling_time + patience;
    return end + (2 * heard >= state.registered_hosts
                      ? usual
                      : std::max(usual, settings_.late - last_resort_time));
}

bool usage_reporter::is_complete(window_number window, const view& state) const {
    return state.wall >= patience_end(window, state) || has_all_totals(window, state, nullptr);
}

std::optional<usage_step> usage_reporter::next(const view& state) {
    forget_old_windows(state.wall);
    if (state.now < wait_until_) {
        return std::nullopt;
    }
    if (!state.rank) {
        return is_holder() ? next_report(state) : std::nullopt;
    }
    return is_holder() ? next_as_holder(state) : next_as_candidate(state);
}

std::optional<usage_step> usage_reporter::next_as_holder(const view& state) {
    const auto& record = *known_->record;
    write_record_step step{record, known_->version, known_->era};
    if (auto report = next_report(state)) {
        return report;
    }
    add_due_window(step, state);
    if (step.record.next_window > record.next_window) {
        step.cause = write_record_step::reason::windows;
        return step;
    }
    const bool is_unsent = first_unsent(record) != nullptr;
    // Other hosts repeat reports that stay in the record.
    const bool is_outdated =
        step.record.unconfirmed.size() < record.unconfirmed.size() &&
        is_nearly_late(record.unconfirmed, repeat_time + record_time, state.wall);
    if (is_unsent || is_outdated) {
        return step;
    }
    return std::nullopt;
}

std::optional<usage_step> usage_reporter::next_report(const view& state) const {
    const auto* unsent = first_unsent(*known_->record);
    if (unsent != nullptr && committed_at_ && state.now - *committed_at_ <= commit_validity) {
        return send_report_step{*unsent, known_->record->fence};
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
    auto wait = (is_own ? milliseconds{0} : handover_time) +
                (is_vacant ? rank * takeover_interval : milliseconds{0});
    if (is_vacant && !hears_fleet(state)) {
        wait += std::max(settling_time + patience, settings_.late - last_resort_time);
    }
    if (state.now - unchanged_since_ < wait) {
        return false;
    }
    if (is_vacant) {
        return true;
    }
    if (is_nearly_late(known_->record->unconfirmed, repeat_time - rank * record_time, state.wall)) {
        return true;
    }
    const auto window = known_->record->next_window;
    if (due_until(state.wall - (rank + 1) * takeover_interval) <= window) {
        return false;
    }
    // The holder may be waiting for totals that this host lacks too. A dead holder sends none.
    const auto& holder = known_->record->holder;
    return (hears_fleet(state) && has_all_totals(window, state, &holder)) ||
           state.wall >= patience_end(window, state) + (rank + 1) * record_time;
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
        // This host's clock may be behind that of the other host, and the newest update of that
        // host is some seconds old: one more window is skipped.
        const auto latest =
            std::max(state.wall, state.collector.newest_taken_at(state.wall + max_clock_lead));
        const auto open = is_first ? window_at(started_wall_, settings_.window)
                                   : window_at(latest, settings_.window).next();
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
    add_due_window(step, state);
    return step;
}

void usage_reporter::add_due_window(write_record_step& step, const view& state) {
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
    if (record.next_window < until && is_complete(record.next_window, state)) {
        const auto window = record.next_window;
        const auto [entry, added] = computed_.try_emplace(window);
        if (added) {
            entry->second = state.collector.totals(window);
        }
        record.unconfirmed.push_back({window, entry->second});
        record.next_window = window.next();
    }
}

bool usage_reporter::is_nearly_late(const std::vector<window_usage>& reports,
                                    milliseconds remaining, wall_time now) const {
    return std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
        return !is_late(report.window, now) && is_late(report.window, now + remaining);
    });
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
    wait_until_ = now + retry_delay * (1U << std::min(store_failures_, max_doublings));
    ++store_failures_;
}

void usage_reporter::on_commit(const write_record_step& step, bool committed, fleet_version version,
                               store_era era, boot_time sent_at) {
    // In another era the expected version may have belonged to another record.
    if (!committed || era != step.era) {
        known_.reset();
        return;
    }
    store_failures_ = 0;
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
