#pragma once

#include <chrono>

namespace masticgrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time points of the steady clock are only meaningful within one process.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

/// A monotonic clock that keeps running while the host is suspended (CLOCK_BOOTTIME). It measures
/// leases, proofs and rate budgets that other processes rely on; timers use `steady_clock`.
struct boot_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// Thread safety: safe to call from any thread.
    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

}  // namespace masticgrade
