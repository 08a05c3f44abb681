#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "group_failover.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds promote_call_timeout{1500};
/// A call that the platform has accepted takes effect within 1 s.
constexpr milliseconds effect_time{1200};
/// Calls that make the platform refuse earlier ones are repeated for this long.
constexpr seconds void_timeout{5};
constexpr milliseconds void_interval{300};
constexpr milliseconds target_status_timeout{500};

/// A promotion call under way. The timer is cancelled when it ends.
struct pending_call {
    std::optional<promotion_outcome> outcome;
    asio::steady_timer timer;
};

}  // namespace

void group_failover::add_request(const promotion_choice& choice) {
    auto& record = lock_.record;
    record.request_pending = true;
    const bool is_known =
        std::any_of(record.requests.begin(), record.requests.end(),
                    [&](const auto& request) { return request.fence == record.fence; });
    if (!is_known) {
        record.requests.push_back(
            {record.fence, choice.target, choice.start_time, choice.position, hold_term_});
    }
}

void group_failover::clear_requests() {
    lock_.record.requests.clear();
    lock_.record.request_pending = false;
}

asio::awaitable<group_failover::request_result> group_failover::send_request(
    promotion_choice choice) {
    const auto call = std::make_shared<pending_call>(
        pending_call{std::nullopt, asio::steady_timer{environment_.executor}});
    asio::co_spawn(
        environment_.executor,
        environment_.promotions.promote(group_->name(), choice.target, lock_.record.fence,
                                        steady_clock::now() + promote_call_timeout),
        [call](const std::exception_ptr& failure, promotion_outcome outcome) {
            call->outcome = failure ? promotion_outcome::unknown : outcome;
            call->timer.cancel();
        });
    request_result result;
    while (!call->outcome && !result.target_changed) {
        call->timer.expires_after(check_interval);
        boost::system::error_code ignored;
        co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!call->outcome) {
            const auto state = co_await check_target(choice);
            result.target_changed = state == target_state::changed;
        }
    }
    result.outcome = call->outcome.value_or(promotion_outcome::unknown);
    log_request(choice.target, result.outcome);
    co_return result;
}

instance_id group_failover::absent_instance() const {
    auto name = "void-" + std::to_string(lock_.record.fence);
    const auto holders = group_->log_holders();
    while (std::any_of(holders.begin(), holders.end(),
                       [&](const auto& holder) { return holder.instance.str() == name; })) {
        name += '-';
    }
    return instance_id{name};
}

asio::awaitable<bool> group_failover::void_requests() {
    ++lock_.record.fence;
    const auto deadline = steady_clock::now() + void_timeout;
    bool is_recorded = false;
    while (steady_clock::now() < deadline) {
        if (!is_recorded) {
            try {
                is_recorded = co_await renew_lock_once();
                if (!is_recorded) {
                    co_return false;
                }
            } catch (const error&) {
                // `write` has logged the failure. The next holder of the lock has at least this
                // token, so the platform carries out its requests although it knows the token.
            }
        }
        const auto absent = absent_instance();
        const auto outcome = co_await environment_.promotions.promote(
            group_->name(), absent, lock_.record.fence, steady_clock::now() + promote_call_timeout);
        log_request(absent, outcome);
        if (outcome != promotion_outcome::unknown) {
            co_return true;
        }
        co_await sleep(void_interval);
    }
    co_return false;
}

asio::awaitable<group_failover::settlement> group_failover::settle_requests() {
    settlement result;
    if (!lock_.record.request_pending) {
        result.is_complete = true;
        co_return result;
    }
    if (!co_await void_requests()) {
        co_return result;
    }
    co_await sleep(effect_time);
    const backend_request status_request = backend_status{};
    const auto requests = lock_.record.requests;
    bool is_known = true;
    for (const auto& request : requests) {
        const auto deadline = steady_clock::now() + target_status_timeout;
        const auto answer = co_await orders_.send_until(request.target, status_request, deadline);
        const auto& status = answer.status;
        // A call that was accepted earlier may have taken effect although this host can't see it.
        is_known = is_known && (status || !group_->is_listed(request.target));
        if (status && status->is_primary && status->term >= request.hold_term &&
            (!result.carried_out || result.carried_out->status.term < status->term)) {
            result.carried_out = carried_out_request{request, *status};
        }
    }
    // The request of a promotion stays in the row until the promotion is recorded.
    result.is_complete = is_known || result.carried_out;
    if (is_known && !result.carried_out) {
        clear_requests();
        result.is_complete = co_await renew_lock();
    }
    event_line{"promotion_requests_voided"}
        .field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("requests", requests.size())
        .field("settled", result.is_complete)
        .field("carried_out",
               result.carried_out ? result.carried_out->request.target.str() : std::string{"none"})
        .write();
    co_return result;
}

}  // namespace masticgrade
