#include "holder_account.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace masticgrade {

namespace {

constexpr double rounding_tolerance = 1e-9;
/// A holder without a share needs one request per burst of statements; more than a few at a time
/// only fill the owner's queue.
constexpr std::size_t max_pending_requests = 4;
/// Upper limit of the waiting statements of a customer that its burst allows, in addition to those
/// that its rate serves within `max_token_wait`.
constexpr double max_burst_waiters = 64;
/// A token request also covers the expected demand of this many seconds.
constexpr double prefetch_seconds = 0.1;
constexpr double negligible_demand = 0.01;
constexpr double demand_weight = 0.5;

double to_seconds(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

holder_account::holder_account(customer_id customer, std::uint64_t account_ordinal,
                               const share_settings& settings, time_point now)
    : ordinal(account_ordinal),
      customer_(std::move(customer)),
      settings_(settings),
      bucket_(now),
      demand_measured_at_(now) {}

void holder_account::configure(double rate, double burst, time_point now) {
    if (rate != rate_ || burst != burst_) {
        rate_ = rate;
        burst_ = burst;
        configure_bucket(now);
    }
}

void holder_account::set_share(share_fraction share, time_point now) {
    held_ = share;
    configure_bucket(now);
}

void holder_account::configure_bucket(time_point now) {
    bucket_.configure(held_.rate * rate_, held_.burst * burst_, now);
}

void holder_account::bind(fleet_version ownership) {
    if (ownership > bound_ownership_) {
        bound_ownership_ = ownership;
        applied_sequence_ = {};
        returned_tokens_ = 0;
    }
}

std::optional<acknowledged_share> holder_account::apply(const assigned_share& assigned,
                                                        time_point now) {
    bind(assigned.ownership);
    if (assigned.ownership < bound_ownership_ || assigned.sequence < applied_sequence_) {
        return std::nullopt;
    }
    if (assigned.sequence > applied_sequence_) {
        applied_sequence_ = assigned.sequence;
        returned_tokens_ = 0;
        const auto before = held_.burst;
        if (assigned.share.burst < before) {
            const auto returned_fraction = 1 - assigned.share.burst / before;
            returned_tokens_ = bucket_.take_up_to(bucket_.level(now) * returned_fraction, now);
        }
        set_share(assigned.share, now);
        // The owner may have computed these tokens with a higher burst than is configured here.
        const auto room = std::max(0.0, assigned.share.burst - before) * burst_;
        bucket_.add(std::min(assigned.tokens, room), now);
    }
    return acknowledged_share{customer_, bound_ownership_, applied_sequence_, returned_tokens_};
}

bool holder_account::try_take(time_point now) { return waiters_.empty() && bucket_.take(1, now); }

bool holder_account::has_queue_capacity() const {
    const auto max_count =
        rate_ * to_seconds(settings_.max_token_wait) + std::min(burst_, max_burst_waiters);
    return static_cast<double>(waiters_.size()) < std::ceil(max_count);
}

bool holder_account::remove_waiter(admission_ticket ticket) {
    return std::erase_if(waiters_, [&](const waiter& w) { return w.ticket == ticket; }) > 0;
}

void holder_account::admit_waiters(double granted_tokens, time_point now, share_actions& out) {
    while (!waiters_.empty()) {
        const auto from_granted = std::min(granted_tokens, 1.0);
        if (!bucket_.take(1 - from_granted, now)) {
            break;
        }
        granted_tokens -= from_granted;
        out.emplace_back(statement_admitted{waiters_.front().ticket});
        waiters_.pop_front();
    }
    if (granted_tokens > 0) {
        bucket_.add(granted_tokens, now);
    }
}

void holder_account::refuse_expired(time_point now, share_actions& out) {
    std::erase_if(waiters_, [&](const waiter& statement) {
        if (statement.expires > now) {
            return false;
        }
        out.emplace_back(statement_refused{statement.ticket, refusal_reason::rate_exceeded});
        return true;
    });
}

void holder_account::refuse_all(refusal_reason reason, share_actions& out) {
    for (const auto& statement : waiters_) {
        out.emplace_back(statement_refused{statement.ticket, reason});
    }
    waiters_.clear();
}

std::optional<token_request> holder_account::next_request(request_number number, time_point now) {
    std::erase_if(requests_, [&](const pending_request& request) {
        return now - request.first_sent > settings_.max_token_wait;
    });
    // With a share, the bucket continues to admit statements, and one request at a time limits the
    // message rate when a customer sends far more than its rate.
    const auto max_count = bucket_.capacity() >= 1 ? 1 : max_pending_requests;
    if (requests_.size() >= max_count) {
        return std::nullopt;
    }
    auto missing = static_cast<double>(waiters_.size()) - bucket_.level(now);
    for (const auto& request : requests_) {
        missing -= request.tokens;
    }
    if (missing <= rounding_tolerance) {
        return std::nullopt;
    }
    const auto prefetched =
        std::floor(std::min(bucket_.capacity() / 2, demand_ * prefetch_seconds));
    const auto tokens = missing + prefetched;
    requests_.push_back({number, tokens, now, now});
    return token_request{customer_, number, tokens};
}

std::vector<token_request> holder_account::requests_to_resend(time_point now) {
    std::vector<token_request> due;
    for (auto& request : requests_) {
        if (now - request.last_sent >= settings_.retry_interval &&
            now - request.first_sent < settings_.max_token_wait) {
            request.last_sent = now;
            due.push_back({customer_, request.number, request.tokens});
        }
    }
    return due;
}

bool holder_account::close_request(const token_grant& grant, time_point now) {
    const auto found = std::find_if(
        requests_.begin(), requests_.end(),
        [&](const pending_request& request) { return request.number == grant.number; });
    if (found == requests_.end()) {
        return false;
    }
    // The age is measured on this host's clock since the request was sent, which precedes the
    // grant.
    const bool is_usable =
        now - found->first_sent <= settings_.max_token_wait && grant.ownership >= bound_ownership_;
    requests_.erase(found);
    return is_usable;
}

bool holder_account::measure_demand(time_point now) {
    const auto elapsed = to_seconds(now - demand_measured_at_);
    if (elapsed <= 0) {
        return false;
    }
    const auto current = static_cast<double>(requested_) / elapsed;
    demand_ = demand_weight * current + (1 - demand_weight) * demand_;
    if (demand_ < negligible_demand) {
        demand_ = 0;
    }
    requested_ = 0;
    demand_measured_at_ = now;
    const bool report = demand_ > 0 || reported_demand_ > 0;
    reported_demand_ = demand_;
    return report;
}

held_share holder_account::report() const { return {customer_, bound_ownership_, held_, demand_}; }

time_point holder_account::next_wake(time_point now) const {
    if (waiters_.empty()) {
        return time_point::max();
    }
    auto next = bucket_.ready_at(1, now);
    for (const auto& statement : waiters_) {
        next = std::min(next, statement.expires);
    }
    for (const auto& request : requests_) {
        next = std::min(next, request.last_sent + settings_.retry_interval);
    }
    return std::max(next, now + microseconds(100));
}

time_point holder_account::retry_at(time_point now) const {
    const auto ready = bucket_.ready_at(1, now);
    const auto seconds_per_token = rate_ > 0 ? 1 / rate_ : 1.0;
    const auto fallback = now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
                                    std::clamp(seconds_per_token, 0.001, 3600.0)));
    return std::min(ready, fallback);
}

}  // namespace masticgrade
