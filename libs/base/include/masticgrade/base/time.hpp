#pragma once

#include <chrono>

namespace masticgrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Points on the steady clock of one process; they mean nothing to another process.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

/// A monotonic clock that also counts the time for which the host was suspended. Leases, proofs and
/// budgets that other processes rely on are measured with it; timers use `steady_clock`.
struct boot_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// Thread safety: any thread.
    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

}  // namespace masticgrade
