#include "group_failover.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Adds a log that cannot be promoted, unless it is held.
void add_log(unheld_logs& logs, counted_log log) {
    const bool is_primary =
        log.state == log_state::primary_silent || log.state == log_state::primary_unconfirmed;
    if (is_primary && !logs.primary_is_unknown) {
        logs.primary_is_unknown = true;
    } else if (!is_known(log.state)) {
        ++logs.unknown_replicas;
    }
    // The old primary's log is compared as `former_primary` only. If the primary has started again,
    // its earlier process counts as unknown. A commit has copies on one of its processes at most,
    // so that a known replica has each acknowledged one.
    const bool was_primary = is_primary || log.state == log_state::stepped_down;
    const bool is_compared = log.state == log_state::held ||
                             log.state == log_state::held_unconfirmed ||
                             log.state == log_state::covered;
    if (log.position && !was_primary && !is_compared) {
        logs.longest_unlisted =
            std::max(logs.longest_unlisted.value_or(log_index{}), *log.position);
    }
    logs.logs.push_back(std::move(log));
}

}  // namespace

std::optional<log_index> group_failover::former_primary_end() const {
    if (stepped_down_ && stepped_down_->led &&
        !group_->has_earlier_process(stepped_down_->process)) {
        return stepped_down_->position;
    }
    const auto& recorded = lock_.record.primary;
    if (!recorded || recorded->era != lock_.era) {
        return std::nullopt;
    }
    if (recorded->end) {
        return recorded->end;
    }
    // It was ordered to step down by a holder that is gone, and is held as a replica now.
    return held_logs_.is_confirmed_by_writes(recorded->process, environment_.entries)
               ? held_logs_.position_of(recorded->process)
               : std::nullopt;
}

bool group_failover::note_former_end() {
    if (!stepped_down_ || !stepped_down_->led ||
        group_->has_earlier_process(stepped_down_->process)) {
        return false;
    }
    const recorded_primary ended{stepped_down_->process, lock_.era, stepped_down_->position};
    return std::exchange(lock_.record.primary, ended) != ended;
}

asio::awaitable<unheld_logs> group_failover::find_unheld_logs() {
    unheld_logs result;
    result.sync_replicas = group_->sync_replicas();
    result.former_primary = former_primary_end();
    const auto holders = group_->log_holders();
    for (const auto& holder : holders) {
        auto log = co_await find_log(holder);
        add_log(result, std::move(log));
    }
    co_return result;
}

asio::awaitable<counted_log> group_failover::find_log(log_holder holder) {
    if (const auto present = group_->present_process(holder)) {
        auto log = find_listed_log(*present);
        log.holder = holder;
        co_return log;
    }
    if (group_->is_listed(holder.instance) || group_->has_ended(holder)) {
        co_return find_ended_log(holder);
    }
    if (group_->primary() == holder.instance) {
        co_return find_primary_log(holder);
    }
    co_return co_await hold_unlisted(holder);
}

counted_log group_failover::find_listed_log(const log_holder& holder) const {
    if (group_->primary() == holder.instance) {
        return find_primary_log(holder);
    }
    const auto position = held_logs_.position_of(holder);
    if (!position) {
        return {holder, log_state::not_held};
    }
    const bool is_confirmed = held_logs_.is_confirmed(holder, environment_.entries);
    return {holder, is_confirmed ? log_state::held : log_state::held_unconfirmed, position};
}

counted_log group_failover::find_ended_log(const log_holder& holder) const {
    const auto& bounds = lock_.record.log_bounds;
    const auto bound = bounds.find(holder);
    const auto best = choose_promotion_target(candidates_, hold_term_);
    if (bound != bounds.end() && best && best->position >= bound->second) {
        return {holder, log_state::covered, bound->second};
    }
    // A successor may not have received all of the log, and receives nothing while it is held.
    const auto heir = group_->heir_of(holder);
    return {holder, heir ? log_state::successor_only : log_state::earlier_process};
}

counted_log group_failover::find_primary_log(const log_holder& holder) const {
    if (!stepped_down_ || stepped_down_->process != holder) {
        return {holder, log_state::primary_silent};
    }
    return {holder, stepped_down_->led ? log_state::stepped_down : log_state::primary_unconfirmed,
            stepped_down_->position};
}

asio::awaitable<counted_log> group_failover::hold_unlisted(log_holder holder) {
    const auto answer = co_await send_hold(holder);
    if (answer.has_other_id) {
        // An instance that takes over the address has a log of the group, but may not have received
        // all of the earlier one yet.
        log_holder any_instance;
        any_instance.address = holder.address;
        const auto successor = co_await send_hold(std::move(any_instance));
        counted_log log{holder, log_state::successor_only};
        if (successor.status) {
            log.position = successor.status->received;
        }
        co_return log;
    }
    if (!answer.status) {
        co_return counted_log{holder, answer.is_running ? log_state::refused : log_state::silent};
    }
    const bool is_held = !answer.status->is_primary && answer.status->held == hold_term_;
    co_return counted_log{holder, is_held ? log_state::held_unlisted : log_state::refused,
                          answer.status->received};
}

asio::awaitable<instance_orders::unlisted_answer> group_failover::send_hold(log_holder holder) {
    const backend_request request = backend_hold{hold_term_};
    const auto asked_at = boot_clock::now();
    const auto answer = co_await orders_.send_unlisted(holder.instance, holder.address, request);
    log_order("unlisted_hold", holder.instance, answer.status, asked_at);
    if (answer.is_running) {
        // The request may have been executed although its answer was lost.
        held_replicas_.insert(std::move(holder));
    }
    co_return answer;
}

asio::awaitable<unheld_logs> group_failover::ask_lost_instances(unheld_logs known) {
    const auto holders = group_->log_holders();
    const auto lost = group_->lost_instances(steady_clock::now());
    for (const auto& holder : lost) {
        if (holders.contains(holder)) {
            continue;
        }
        auto log = co_await hold_unlisted(holder);
        if (log.state != log_state::silent) {
            add_log(known, std::move(log));
        }
    }
    co_return known;
}

}  // namespace masticgrade
