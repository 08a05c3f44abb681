#include "group_failover.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Prevents that one failure causes a series of promotions.
constexpr seconds delay_after_promotion{3};
constexpr milliseconds delay_after_failure{400};
/// Between rounds of a host that reaches replicas but too few hosts. Others wait for
/// `delay_after_failure`, since their link may be full.
constexpr milliseconds delay_while_isolated{100};
constexpr milliseconds primary_status_timeout{500};

}  // namespace

group_failover::group_failover(std::shared_ptr<backend_group> group,
                               failover_environment environment)
    : group_(std::move(group)),
      environment_(std::move(environment)),
      rows_(environment_.store, group_->name(), environment_.self),
      orders_(group_, environment_.connector),
      decisions_(group_->name(), environment_.metrics) {}

asio::awaitable<void> group_failover::sleep(duration length) {
    asio::steady_timer timer{environment_.executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

group_failover::failover_kind group_failover::required_failover(time_point now) const {
    const auto primary = group_->primary();
    if (!group_->lists_others_than_primary()) {
        return failover_kind::none;
    }
    if (group_->primary_is_dead(now) || row_needs_closing()) {
        return failover_kind::unplanned;
    }
    return primary && group_->is_draining(*primary) ? failover_kind::planned : failover_kind::none;
}

bool group_failover::row_needs_closing() const {
    return group_->last_failover().open || group_->last_failover_is_lost();
}

asio::awaitable<void> group_failover::run() {
    const auto self = shared_from_this();
    while (!stopping_) {
        co_await sleep(check_interval);
        if (group_->primary_is_unconfirmed()) {
            const auto primary = *group_->primary();
            const auto answer =
                co_await query_status(primary, steady_clock::now() + primary_status_timeout);
            if (answer.status && !answer.status->is_primary) {
                group_->on_primary_denied(primary);
            }
        }
        const auto now = steady_clock::now();
        const auto kind = required_failover(now);
        if (kind == failover_kind::none) {
            required_since_.reset();
            suspicion_.clear();
            if (!replicas_to_resume_.empty() && now >= resume_after_) {
                co_await resume_pending_replicas();
            }
            continue;
        }
        if (!required_since_) {
            required_since_ = now;
        }
        const auto rank =
            failover_rank(group_->name(), environment_.self, environment_.live_hosts());
        if (now < retry_after_ || now - *required_since_ < takeover_delay(rank)) {
            continue;
        }
        promoting_ = true;
        const scope_guard done{[&] { promoting_ = false; }};
        try {
            co_await run_failover(kind);
        } catch (const error& failure) {
            retry_after_ = steady_clock::now() + delay_after_failure;
            event_line{"failover_failed"}
                .field("group", group_->name())
                .field("reason", failure.what())
                .write();
        }
    }
}

asio::awaitable<void> group_failover::run_failover(failover_kind kind) {
    retry_after_ = steady_clock::now() + delay_after_failure;
    const auto replaced = group_->primary();
    // Other hosts may not know yet that the primary has lost its log, and would report that it
    // answers.
    const bool log_is_lost = replaced && group_->has_lost_log(*replaced);
    if (kind == failover_kind::planned || log_is_lost) {
        co_await survey_instances();
    } else {
        const auto verdict = co_await assess_primary();
        if (!verdict) {
            if (row_needs_closing()) {
                co_await close_abandoned_row();
            }
            co_return;
        }
        if (*verdict == primary_verdict::inconclusive) {
            retry_after_ = steady_clock::now() +
                           (suspicion_.is_isolated() ? delay_while_isolated : delay_after_failure);
        }
        if (!permits_failover(*verdict)) {
            co_return;
        }
    }
    if (!co_await acquire_lock()) {
        co_return;
    }
    if (!co_await settle_earlier_requests()) {
        co_return;
    }
    // The next attempt needs a verdict of its own.
    suspicion_.clear();
    // Another host may have finished a promotion in the meantime.
    if (group_->primary() != replaced ||
        required_failover(steady_clock::now()) == failover_kind::none) {
        co_await release_lock();
        co_return;
    }
    group_->on_failover_begun(lock_.record.fence);
    census_ = {};
    held_logs_.clear();
    stepped_down_.reset();
    replaced_ = group_->primary_process();
    asio::co_spawn(environment_.executor, announce(lock_.record.fence), asio::detached);
    event_line{"failover_started"}
        .field("group", group_->name())
        .field("planned", kind == failover_kind::planned)
        .field("primary", group_->primary() ? group_->primary()->str() : std::string{"none"})
        .field("term", group_->newest_term())
        .field("fence", lock_.record.fence)
        .write();
    const auto choice = co_await prepare_target(kind);
    if (!choice) {
        decisions_.on_attempt_refused();
        lock_.record.required = least_target_position(evaluate_acknowledgements());
        if (stepped_down_) {
            note_former_end();
            // The next attempt holds it like the other replicas.
            group_->on_primary_denied(stepped_down_->process.instance);
        }
        co_await release_replicas();
        co_await release_lock();
        co_return;
    }
    const auto term = co_await promote(*choice);
    event_line{"failover_ended"}
        .field("group", group_->name())
        .field("target", choice->target)
        .field("position", choice->position)
        .field("fence", lock_.record.fence)
        .field("leads", term.has_value())
        .write();
    const bool is_done = term && !group_->has_lost_log(choice->target);
    environment_.metrics.count("masticgrade_promotions_total", "Promotions by outcome.",
                               is_done ? "done" : "failed");
    if (is_done) {
        retry_after_ = steady_clock::now() + delay_after_promotion;
    }
    if (term) {
        co_await record_promotion(*choice, *term);
    }
}

void group_failover::log_order(std::string_view event, const instance_id& instance,
                               const std::optional<instance_status>& status,
                               boot_time asked_at) const {
    event_line line{event};
    line.field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("instance", instance)
        .field("term", hold_term_)
        .field("answered", status.has_value());
    if (status) {
        line.field("leads", status->is_primary)
            .field("position", status->received)
            .field("held", status->held);
    }
    line.field_ms("age_ms", boot_clock::now() - asked_at).write();
}

asio::awaitable<void> group_failover::announce(std::uint64_t fence) {
    const auto self = shared_from_this();
    while (promoting_ && lock_.record.fence == fence && lock_.record.open) {
        try {
            auto group = group_->name();
            const auto told = co_await environment_.announce_begun(std::move(group), fence);
            if (lock_.record.fence != fence) {
                co_return;
            }
            add_to_census(told);
            const auto unconfirmed = told.unconfirmed.size();
            event_line{"failover_announced"}
                .field("group", group_->name())
                .field("fence", fence)
                .field("unconfirmed", unconfirmed)
                .write();
            if (unconfirmed == 0) {
                confirmed_fence_ = fence;
                co_return;
            }
        } catch (const error& failure) {
            event_line{"failover_not_announced"}
                .field("group", group_->name())
                .field("fence", fence)
                .field("reason", failure.what())
                .write();
        }
        co_await sleep(check_interval);
    }
}

void group_failover::add_to_census(const failover_announcement& told) {
    for (const auto& answer : told.confirmed) {
        // A process that confirms acknowledges nothing more, so its first answer remains true.
        census_.confirmed.emplace(answer.host, answer);
    }
    census_.unconfirmed = told.silent;
    census_.unconfirmed.insert(told.unconfirmed.begin(), told.unconfirmed.end());
    std::erase_if(census_.unconfirmed,
                  [&](const auto& item) { return census_.confirmed.contains(item.first); });
    census_.is_announced = true;
}

census_result group_failover::evaluate_acknowledgements() {
    census_.own = {environment_.self, environment_.process_started, group_->acknowledged(),
                   std::nullopt, group_->replica_positions_seen()};
    census_.former_primaries = group_->recent_primaries();
    census_.term = group_->last_failover().term;
    census_.required = lock_.record.required;
    return evaluate_census(census_, group_->proven_position(uncovered_before(census_)));
}

std::optional<log_index> group_failover::acknowledged_here() const {
    return group_->acknowledged().value_or(acknowledged_bounds{}).up_to;
}

void group_failover::record_decision(target_verdict verdict, std::optional<promotion_choice> choice,
                                     const unheld_logs& others) {
    promotion_decision decision;
    decision.fence = lock_.record.fence;
    decision.verdict = verdict;
    decision.choice = std::move(choice);
    decision.replicas = candidates_;
    decision.held_at = held_at_;
    decision.others = others;
    decision.acknowledged = evaluate_acknowledgements();
    decision.census = census_;
    decisions_.record(decision);
}

asio::awaitable<void> group_failover::wait_until_primary_unused() {
    constexpr milliseconds poll_interval{10};
    const auto started = boot_clock::now();
    const auto unused_at = lock_acquired_at_ + leadership_evidence::expiry_wait;
    while (confirmed_fence_ != lock_.record.fence && boot_clock::now() < unused_at) {
        co_await sleep(poll_interval);
    }
    event_line{"primary_unused"}
        .field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("confirmed", confirmed_fence_ == lock_.record.fence)
        .field_ms("waited_ms", boot_clock::now() - started)
        .write();
}

}  // namespace masticgrade
