#pragma once

#include <cstddef>
#include <deque>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// The operators' limit of the statements that an instance in warm-up receives in one second.
///
/// Admits at most `floor(rate)` statements in any window of one second, or one in any window of
/// `1 / rate` seconds if the rate is below one. A token bucket with the same rate would admit its
/// capacity on top.
///
/// Reads no clock; times must not decrease. Memory: one time for each admitted statement of the
/// last window. Thread safety: none.
class warmup_limiter {
public:
    static constexpr seconds window{1};

    /// Changes the rate per second; 0 admits nothing. Statements that were admitted at another rate
    /// count. Precondition: finite and not negative.
    void configure(double rate);
    /// Admits nothing before `moment`, since another host may have sent statements until then.
    void close_until(time_point moment);

    /// Admits and counts `statements` if the limit allows all of them.
    bool take(std::size_t statements, time_point now);
    /// Number of statements that may be sent now.
    [[nodiscard]] std::size_t available(time_point now) const;
    /// The time at which one more statement may be sent, or `time_point::max()` if the rate is 0.
    [[nodiscard]] time_point ready_at(time_point now) const;

private:
    /// Whether a statement sent at `sent` and one sent now are in the same window.
    [[nodiscard]] bool is_in_window(time_point sent, time_point now) const {
        return now - sent <= length_;
    }

    std::size_t limit_ = 0;
    duration length_{window};
    time_point opens_at_{};
    std::deque<time_point> sent_;
};

}  // namespace masticgrade
