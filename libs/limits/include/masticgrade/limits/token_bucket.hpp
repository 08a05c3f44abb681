#pragma once

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// A token bucket, initially empty. Thread safety: const functions may be called
/// concurrently.
class token_bucket {
public:
    explicit token_bucket(time_point now) noexcept : updated_(now) {}

    /// Changes rate (tokens per second) and capacity; tokens above the capacity are dropped.
    /// Precondition: both are finite and not negative.
    void configure(double rate, double capacity, time_point now);

    /// Takes `tokens` if the bucket holds at least that many.
    bool take(double tokens, time_point now) noexcept;

    /// Takes up to `tokens` and returns the number taken.
    double take_up_to(double tokens, time_point now) noexcept;

    /// Adds tokens up to the capacity.
    void add(double tokens, time_point now) noexcept;

    /// The time at which the bucket will hold `tokens` if none are taken, or `time_point::max()` if
    /// that is more than an hour away or `tokens` exceeds the capacity.
    [[nodiscard]] time_point ready_at(double tokens, time_point now) const noexcept;

    [[nodiscard]] double level(time_point now) const noexcept;
    [[nodiscard]] double rate() const noexcept { return rate_; }
    [[nodiscard]] double capacity() const noexcept { return capacity_; }

private:
    void refill(time_point now) noexcept;

    double rate_ = 0;
    double capacity_ = 0;
    double level_ = 0;
    time_point updated_;
};

}  // namespace masticgrade
