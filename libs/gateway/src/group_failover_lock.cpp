#include "group_failover.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Outcomes that the store did not accept are written again for this long.
constexpr seconds record_timeout{10};

void add_missing(std::vector<promotion_request>& requests,
                 const std::vector<promotion_request>& others) {
    for (const auto& other : others) {
        if (std::find(requests.begin(), requests.end(), other) == requests.end()) {
            requests.push_back(other);
        }
    }
}

}  // namespace

asio::awaitable<bool> group_failover::acquire_lock() {
    const auto now = steady_clock::now();
    const auto read_at = boot_clock::now();
    const auto observed = co_await rows_.read();
    if (adopt_result(observed, read_at) || required_failover(now) == failover_kind::none) {
        co_return false;
    }
    const auto& known = group_->last_failover();
    const bool known_to_have_ended = !known.open && known.fence >= observed.record.fence;
    const bool held_by_other =
        observed.record.open && observed.holder != environment_.self && !known_to_have_ended;
    if (held_by_other) {
        if (foreign_version_ != observed.version) {
            foreign_version_ = observed.version;
            foreign_since_ = now;
        }
        if (now - foreign_since_ < lock_expiry) {
            co_return false;
        }
    }
    // A restore of the store may have replaced the newest record.
    auto record = known.fence > observed.record.fence ? known : observed.record;
    if (record.log_holders.empty()) {
        // The row is unreadable, or a host of an earlier release has written it.
        record.log_holders = known.log_holders;
    }
    // A restore of the store may have erased the mark of a request that was sent.
    record.request_pending =
        known.request_pending || (record.request_pending && !known_to_have_ended);
    if (known_to_have_ended) {
        record.requests = known.requests;
    } else {
        add_missing(record.requests, known.requests);
    }
    record.request_pending = record.request_pending || !record.requests.empty();
    record.fence = std::max(record.fence, fence_base(observed.era)) + 1;
    record.open = true;
    const auto valid_until = boot_clock::now() + lock_expiry;
    const auto version = co_await rows_.write(record, {observed.version, observed.era});
    if (!version) {
        co_return false;
    }
    lock_ = {record, environment_.self, *version, observed.era};
    took_over_ = held_by_other;
    lock_valid_until_ = valid_until;
    lock_acquired_at_ = boot_clock::now();
    co_return true;
}

asio::awaitable<bool> group_failover::renew_lock() {
    for (;;) {
        try {
            co_return co_await renew_lock_once();
        } catch (const error&) {
            // `write` has logged the failure.
            if (boot_clock::now() + check_interval >= lock_valid_until_) {
                throw;
            }
        }
        co_await sleep(check_interval);
    }
}

asio::awaitable<bool> group_failover::renew_lock_once() {
    const auto now = boot_clock::now();
    const auto version = co_await rows_.write(lock_.record, {lock_.version, lock_.era});
    if (!version) {
        event_line{"failover_lock_lost"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .field("era", lock_.era)
            .write();
        co_return false;
    }
    lock_.version = *version;
    lock_valid_until_ = now + lock_expiry;
    co_return true;
}

bool group_failover::adopt_result(const failover_row& observed, boot_time read_at) {
    const auto previous = group_->primary();
    if (observed.version != fleet_version{}) {
        group_->on_failover_row(observed.record, read_at, observed.era);
    }
    return group_->primary() != previous;
}

asio::awaitable<void> group_failover::release_lock() {
    if (lock_.record.request_pending) {
        event_line{"failover_left_open"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .write();
        co_return;
    }
    lock_.record.open = false;
    const auto written_at = boot_clock::now();
    // If the row stays open, another host acquires the lock after `lock_expiry`.
    if (co_await rows_.write(lock_.record, {lock_.version, lock_.era})) {
        group_->on_failover_row(lock_.record, written_at, lock_.era);
        environment_.announce_recorded(group_->name(), lock_.record.fence);
    }
}

asio::awaitable<void> group_failover::record_promotion(promotion_choice choice, term_number term) {
    lock_.record.primary.reset();
    for (const auto& entry : group_->entries()) {
        if (entry.id == choice.target && entry.start_time == choice.start_time) {
            lock_.record.primary = recorded_primary{log_holder_of(entry), lock_.era};
        }
    }
    lock_.record.target = std::move(choice.target);
    lock_.record.target_start_time = choice.start_time;
    lock_.record.target_position = choice.position;
    lock_.record.term = term;
    lock_.record.open = false;
    if (!group_->has_lost_log(lock_.record.target)) {
        lock_.record.required.reset();
    }
    const auto deadline = steady_clock::now() + record_timeout;
    while (steady_clock::now() < deadline) {
        const auto written_at = boot_clock::now();
        try {
            const auto version = co_await rows_.write(lock_.record, {lock_.version, lock_.era});
            if (version) {
                group_->on_failover_row(lock_.record, written_at, lock_.era);
                environment_.announce_recorded(group_->name(), lock_.record.fence);
                co_return;
            }
            const auto row = co_await rows_.read();
            if (row.era != lock_.era && !row.record.open) {
                // A restore of the store has erased the lock, and nobody has acquired it since.
                lock_.version = row.version;
                lock_.era = row.era;
                lock_.record.fence = std::max(row.record.fence, fence_base(row.era)) + 1;
            } else if (row.version != lock_.version || row.era != lock_.era) {
                co_return;
            }
        } catch (const error& failure) {
            event_line{"failover_not_recorded"}
                .field("group", group_->name())
                .field("fence", lock_.record.fence)
                .field("reason", failure.what())
                .write();
        }
        co_await sleep(check_interval);
    }
}

}  // namespace masticgrade
