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

}  // namespace masticgrade
