#include "group_failover.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds promote_call_timeout{1500};
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
    auto target = *primary;
    auto term = group_->newest_term();
    if (lock_.record.request_pending) {
        if (!took_over_) {
            // Hosts may have used another primary shortly before this attempt.
            group_->on_failover_begun(lock_.record.fence);
            asio::co_spawn(environment_.executor, announce(lock_.record.fence), asio::detached);
            co_await wait_until_primary_unused();
        }
        const auto leads_in = co_await fence_pending_requests(target);
        if (!leads_in) {
            co_return;
        }
        term = *leads_in;
    }
    co_await release_replicas();
    co_await record_promotion(std::move(target), term);
}

asio::awaitable<std::optional<term_number>> group_failover::fence_pending_requests(
    instance_id primary) {
    const auto deadline = steady_clock::now() + promote_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline && co_await renew_lock()) {
        const auto asked_at = boot_clock::now();
        const auto status = co_await orders_.send(primary, status_request);
        if (!status) {
            co_await sleep(check_interval);
            continue;
        }
        if (!status->is_primary || status->term < group_->newest_term()) {
            // It has started again or has been replaced, so the request would promote it.
            log_order("primary_not_leading", primary, status, asked_at);
            co_return std::nullopt;
        }
        const auto outcome =
            co_await environment_.promotions.promote(group_->name(), primary, lock_.record.fence,
                                                     steady_clock::now() + promote_call_timeout);
        log_request(primary, outcome);
        if (outcome == promotion_outcome::refused) {
            co_return std::nullopt;
        }
        if (outcome == promotion_outcome::done) {
            promotion_choice present{primary, {}};
            co_return co_await wait_until_primary(std::move(present));
        }
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

asio::awaitable<void> group_failover::end_attempt(bool request_pending) {
    lock_.record.request_pending = request_pending;
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
    const bool earlier_requests_pending = lock_.record.request_pending;
    bool own_request_pending = false;
    // A target that is silent before the first request may be replaced by another attempt.
    const auto deadline = [&] {
        return started + (own_request_pending ? duration{promote_timeout} : duration{hold_timeout});
    };
    lock_.record.request_pending = true;
    while (steady_clock::now() < deadline()) {
        if (!co_await renew_lock()) {
            co_return std::nullopt;
        }
        auto state = co_await check_target(choice);
        if (state == target_state::unchanged && !own_request_pending &&
            !co_await check_other_replicas(choice)) {
            state = target_state::changed;
        }
        if (state == target_state::silent) {
            co_await sleep(check_interval);
            continue;
        }
        const bool any_request_pending = earlier_requests_pending || own_request_pending;
        if (state == target_state::changed ||
            (state == target_state::leads && !any_request_pending)) {
            if (state == target_state::changed && own_request_pending) {
                report_unsafe_order(choice, "request_pending");
            }
            co_await end_attempt(any_request_pending);
            co_return std::nullopt;
        }
        const auto outcome = co_await environment_.promotions.promote(
            group_->name(), choice.target, lock_.record.fence,
            steady_clock::now() + promote_call_timeout);
        log_request(choice.target, outcome);
        if (outcome == promotion_outcome::refused) {
            co_await end_attempt(any_request_pending);
            co_return std::nullopt;
        }
        own_request_pending = own_request_pending || outcome == promotion_outcome::unknown;
        const auto term = co_await wait_until_primary(choice);
        // Without an answer, the platform may not know this fencing token yet, and would still
        // carry out earlier requests for other targets.
        if (term && (outcome == promotion_outcome::done || !earlier_requests_pending)) {
            co_return term;
        }
        own_request_pending = true;
    }
    if (!own_request_pending) {
        co_await end_attempt(earlier_requests_pending);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<term_number>> group_failover::wait_until_primary(
    promotion_choice choice) {
    const auto& target = choice.target;
    const auto deadline = steady_clock::now() + new_primary_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline) {
        co_await sleep(check_interval);
        const auto status = co_await orders_.send(target, status_request);
        if (status && status->is_primary) {
            if (status->received < choice.position) {
                report_unsafe_order(choice, "log_lost");
            }
            group_->on_status(target, *status);
            group_->set_primary(target, status->term, "promotion");
            co_return status->term;
        }
        if (!status) {
            co_await environment_.read_directory();
        }
        if (group_->claims_primary(target)) {
            group_->set_primary(target, hold_term_, "promotion");
            co_return hold_term_;
        }
    }
    co_return std::nullopt;
}

}  // namespace masticgrade
