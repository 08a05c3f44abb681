#include "stop_schedule.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

/// The load balancer removes a host after two failed health checks, one second apart.
constexpr milliseconds balancer_removal_delay{2200};

}  // namespace

stop_schedule::stop_schedule(time_point started, milliseconds grace)
    : close_sessions_at_(started + std::min(balancer_removal_delay, grace / 3)),
      refuse_work_at_(started + grace / 2),
      deadline_(started + grace * 5 / 6) {}

}  // namespace masticgrade
