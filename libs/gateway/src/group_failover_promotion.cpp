#include "group_failover.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Time from a promotion call until the target is the primary; instances take up to 1 s.
constexpr seconds new_primary_timeout{3};
constexpr milliseconds target_status_timeout{500};
/// Calls with an unknown outcome are repeated for this long. The platform may carry out a call up
/// to 12 s late.
constexpr seconds promote_timeout{15};

}  // namespace

asio::awaitable<void> group_failover::close_abandoned_row() {
    if (!co_await acquire_lock()) {
        co_return;
    }
    const auto primary = group_->primary();
    if (!primary) {
        co_await release_lock();
        co_return;
    }
    event_line{"failover_abandoned"}
        .field("group", group_->name())
        .field("primary", *primary)
        .field("fence", lock_.record.fence)
        .field("row_lost", group_->last_failover_is_lost())
        .write();
    held_replicas_.clear();
    // The earlier attempt may have held replicas that are not listed.
    for (const auto& holder : group_->log_holders()) {
        if (holder.instance != *primary) {
            held_replicas_.insert(holder);
        }
    }
    const auto& target = *primary;
    auto term = group_->newest_term();
    if (lock_.record.request_pending) {
        if (!took_over_) {
            // Hosts may have used another primary shortly before this attempt.
            group_->on_failover_begun(lock_.record.fence);
            asio::co_spawn(environment_.executor, announce(lock_.record.fence), asio::detached);
            co_await wait_until_primary_unused();
        }
        if (!co_await settle_earlier_requests()) {
            co_return;
        }
        const auto leads_in = co_await confirm_primary(target);
        if (!leads_in) {
            co_return;
        }
        term = *leads_in;
    }
    co_await release_replicas();
    co_await record_promotion(present_primary(target, term), term);
}

promotion_choice group_failover::present_primary(const instance_id& primary,
                                                 term_number term) const {
    const auto& record = lock_.record;
    if (record.target == primary && record.term == term && record.target_start_time != 0) {
        return {primary, record.target_position, record.target_start_time};
    }
    const auto process = group_->primary_process();
    const bool is_listed = process && process->instance == primary;
    return {primary, group_->reported_end(primary).value_or(log_index{}),
            is_listed ? process->start_time : 0};
}

asio::awaitable<bool> group_failover::settle_earlier_requests() {
    const auto settled = co_await settle_requests();
    if (settled.carried_out) {
        const auto& request = settled.carried_out->request;
        const promotion_choice choice{request.target, request.position, request.start_time};
        adopt_target(choice, settled.carried_out->status);
        clear_requests();
        co_await release_replicas();
        co_await record_promotion(choice, settled.carried_out->status.term);
        co_return false;
    }
    if (!settled.is_complete) {
        event_line{"promotion_requests_pending"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .field("requests", lock_.record.requests.size())
            .write();
    }
    co_return settled.is_complete;
}

asio::awaitable<std::optional<term_number>> group_failover::confirm_primary(instance_id primary) {
    const auto deadline = steady_clock::now() + new_primary_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline) {
        const auto asked_at = boot_clock::now();
        const auto seen_before = group_->highest_position(primary);
        const auto status = co_await orders_.send(primary, status_request);
        if (status) {
            group_->on_status(primary, *status, seen_before);
            if (status->is_primary && status->term >= group_->newest_term() &&
                !group_->has_lost_log(primary)) {
                co_return status->term;
            }
            // It has started again or has been replaced.
            log_order("primary_not_leading", primary, status, asked_at);
            co_return std::nullopt;
        }
        co_await sleep(check_interval);
    }
    co_return std::nullopt;
}

void group_failover::log_request(const instance_id& target, promotion_outcome outcome) const {
    event_line{"promote_call"}
        .field("group", group_->name())
        .field("target", target)
        .field("fence", lock_.record.fence)
        .field("outcome", outcome == promotion_outcome::done      ? "done"
                          : outcome == promotion_outcome::refused ? "refused"
                                                                  : "unknown")
        .write();
}

asio::awaitable<void> group_failover::end_attempt() {
    co_await release_replicas();
    co_await release_lock();
}

asio::awaitable<group_failover::target_state> group_failover::check_target(
    const promotion_choice& choice) {
    const backend_request status_request = backend_status{};
    const auto asked_at = boot_clock::now();
    const auto deadline = steady_clock::now() + target_status_timeout;
    auto answer = co_await orders_.send_until(choice.target, status_request, deadline);
    if (answer.answered && !answer.status) {
        // A busy instance refuses a status request only. If it has started again, this holds it
        // once more, but at another position.
        const backend_request hold_request = backend_hold{hold_term_};
        answer = co_await orders_.send_until(choice.target, hold_request, deadline);
    }
    const auto& status = answer.status;
    if (!status) {
        log_order("target_status", choice.target, status, asked_at);
        co_return target_state::silent;
    }
    if (status->is_primary) {
        co_return target_state::leads;
    }
    if (status->held == hold_term_ && status->received == choice.position) {
        co_return target_state::unchanged;
    }
    log_order("target_changed", choice.target, status, asked_at);
    co_return target_state::changed;
}

asio::awaitable<bool> group_failover::check_other_replicas(const promotion_choice& choice) {
    const backend_request hold_request = backend_hold{hold_term_};
    const auto candidates = candidates_;
    for (const auto& candidate : candidates) {
        if (candidate.id == choice.target || !candidate.held) {
            continue;
        }
        // A hold request also holds a replica that a late order has released without effect.
        const auto asked_at = boot_clock::now();
        const auto deadline = steady_clock::now() + target_status_timeout;
        const auto answer = co_await orders_.send_until(candidate.id, hold_request, deadline);
        if (!answer.status) {
            continue;
        }
        if (answer.status->is_primary || answer.status->held != hold_term_ ||
            answer.status->received != candidate.held->received) {
            log_order("held_replica_changed", candidate.id, answer.status, asked_at);
            co_return false;
        }
    }
    co_return true;
}

void group_failover::report_unsafe_order(const promotion_choice& choice, std::string_view reason) {
    event_line{"promotion_order_unsafe", event_severity::warning}
        .field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("target", choice.target)
        .field("position", choice.position)
        .field("reason", reason)
        .write();
    environment_.metrics.count("masticgrade_promotion_orders_unsafe_total",
                               "Promotion requests whose target has lost its log.",
                               std::string{reason});
}

asio::awaitable<std::optional<term_number>> group_failover::promote(promotion_choice choice) {
    const auto started = steady_clock::now();
    /// A call may be carried out late.
    bool is_outstanding = false;
    bool was_sent = false;
    // A target that is silent before the first request may be replaced by another attempt.
    const auto deadline = [&] {
        return started + (was_sent ? duration{promote_timeout} : duration{hold_timeout});
    };
    while (steady_clock::now() < deadline()) {
        add_request(choice);
        if (!co_await renew_lock()) {
            co_return std::nullopt;
        }
        auto state = co_await check_target(choice);
        if (state == target_state::unchanged && !was_sent &&
            !co_await check_other_replicas(choice)) {
            state = target_state::changed;
        }
        if (state == target_state::silent) {
            co_await sleep(check_interval);
            continue;
        }
        if (state == target_state::changed || (state == target_state::leads && !was_sent)) {
            break;
        }
        const auto sent = co_await send_request(choice);
        if (sent.outcome == promotion_outcome::refused) {
            break;
        }
        was_sent = true;
        is_outstanding = is_outstanding || sent.outcome == promotion_outcome::unknown;
        if (sent.target_changed) {
            break;
        }
        const auto effect = co_await wait_until_primary(choice);
        if (effect.term) {
            if (!is_outstanding) {
                clear_requests();
            }
            co_return effect.term;
        }
        is_outstanding = true;
        if (effect.target_changed) {
            break;
        }
    }
    if (is_outstanding) {
        co_return co_await settle_attempt(std::move(choice));
    }
    clear_requests();
    co_await end_attempt();
    co_return std::nullopt;
}

asio::awaitable<std::optional<term_number>> group_failover::settle_attempt(
    promotion_choice choice) {
    const auto settled = co_await settle_requests();
    if (settled.carried_out) {
        adopt_target(choice, settled.carried_out->status);
        clear_requests();
        co_return settled.carried_out->status.term;
    }
    if (!settled.is_complete) {
        report_unsafe_order(choice, "request_pending");
    }
    co_await end_attempt();
    co_return std::nullopt;
}

asio::awaitable<group_failover::promotion_effect> group_failover::wait_until_primary(
    promotion_choice choice) {
    const auto& target = choice.target;
    const auto deadline = steady_clock::now() + new_primary_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline) {
        co_await sleep(check_interval);
        const auto asked_at = boot_clock::now();
        const auto status = co_await orders_.send(target, status_request);
        if (status && status->is_primary) {
            adopt_target(choice, *status);
            co_return promotion_effect{status->term};
        }
        if (status && (status->held != hold_term_ || status->received != choice.position)) {
            log_order("target_changed", target, status, asked_at);
            co_return promotion_effect{std::nullopt, true};
        }
        if (!status) {
            co_await environment_.read_directory();
        }
        if (group_->claims_primary(target)) {
            group_->set_primary(target, hold_term_, "promotion");
            co_return promotion_effect{hold_term_};
        }
    }
    co_return promotion_effect{};
}

void group_failover::adopt_target(const promotion_choice& choice, const instance_status& status) {
    // The log goes on in the new term, whose first position may be of any number.
    if (status.received.number < choice.position.number) {
        report_unsafe_order(choice, "log_lost");
        group_->on_position_fell(choice.target, status.received);
        return;
    }
    group_->on_status(choice.target, status);
    group_->set_primary(choice.target, status.term, "promotion");
}

}  // namespace masticgrade
