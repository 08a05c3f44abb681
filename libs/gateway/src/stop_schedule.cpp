#include "stop_schedule.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

/// The load balancer removes a host after two failed health checks, one second apart.
constexpr milliseconds balancer_removal_delay{2200};
/// Time for an answer from the pool owner and for sending it to the caller.
constexpr milliseconds answer_time{150};

}  // namespace

stop_schedule::stop_schedule(time_point started, milliseconds grace)
    : close_sessions_at_(started + std::min(balancer_removal_delay, grace / 3)),
      refuse_work_at_(started + grace / 2),
      deadline_(started + grace * 5 / 6) {}

time_point stop_schedule::answer_deadline() const { return deadline_ - answer_time; }

}  // namespace masticgrade
