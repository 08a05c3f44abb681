#include "masticgrade/limits/token_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace {

using fractional_seconds = std::chrono::duration<double>;

constexpr double max_wait_seconds = 3600;

/// Sums of fractions can be a few units in the last place too small; without this tolerance a
/// bucket of three tokens would admit two statements.
constexpr double rounding_tolerance = 1e-9;

}  // namespace

void token_bucket::configure(double rate, double capacity, time_point now) {
    MG_PRECONDITION(std::isfinite(rate) && rate >= 0);
    MG_PRECONDITION(std::isfinite(capacity) && capacity >= 0);
    refill(now);
    rate_ = rate;
    capacity_ = capacity;
    level_ = std::min(level_, capacity_);
}

bool token_bucket::take(double tokens, time_point now) noexcept {
    refill(now);
    if (level_ + rounding_tolerance < tokens) {
        return false;
    }
    level_ = std::max(0.0, level_ - tokens);
    return true;
}

double token_bucket::take_up_to(double tokens, time_point now) noexcept {
    refill(now);
    const auto taken = std::min(level_, std::max(0.0, tokens));
    level_ -= taken;
    return taken;
}

void token_bucket::add(double tokens, time_point now) noexcept {
    refill(now);
    level_ = std::min(capacity_, level_ + std::max(0.0, tokens));
}

time_point token_bucket::ready_at(double tokens, time_point now) const noexcept {
    const auto missing = tokens - level(now);
    if (missing <= rounding_tolerance) {
        return now;
    }
    if (tokens > capacity_ + rounding_tolerance || missing > rate_ * max_wait_seconds) {
        return time_point::max();
    }
    return now + std::chrono::ceil<duration>(fractional_seconds(missing / rate_));
}

double token_bucket::level(time_point now) const noexcept {
    const auto elapsed = std::max(0.0, fractional_seconds(now - updated_).count());
    return std::min(capacity_, level_ + elapsed * rate_);
}

void token_bucket::refill(time_point now) noexcept {
    level_ = level(now);
    // Threads may read the clock in a different order than they acquire the caller's lock.
    updated_ = std::max(updated_, now);
}

}  // namespace masticgrade
