#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The clock in which accounting windows are defined. It may be adjusted, so leases and waits use
/// `boot_clock`.
using wall_clock = std::chrono::system_clock;
using wall_time = wall_clock::time_point;

/// Number of an accounting window: window k begins k times the window length after 1970.
using window_number = strong_number<struct window_tag>;

/// Operations that instances began to run, by customer: single statements and transactions.
using usage_counts = std::map<customer_id, std::uint64_t>;

struct window_usage {
    window_number window;
    usage_counts counts;

    friend bool operator==(const window_usage&, const window_usage&) = default;
};

struct usage_settings {
    /// Length of a window. Precondition: positive.
    milliseconds window{5000};
    /// Time from the end of a window until its report is late.
    milliseconds late{10000};
    /// Two holders must not alternate within this time.
    milliseconds lease{3000};
};

/// The window that contains `moment`. Preconditions: `moment` is not before 1970, `length` is
/// positive. Thread safety: reentrant.
window_number window_at(wall_time moment, milliseconds length);
/// The end of the window. Thread safety: reentrant.
wall_time end_of(window_number window, milliseconds length);

}  // namespace masticgrade
