#pragma once

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Deadlines of a planned stop. Written for a host whose failure domain has few other hosts in
/// rotation: the load balancer then keeps sending it callers until its listening socket closes.
///
/// A host first waits for its removal from the rotation and serves everybody. Then it closes
/// sessions that wait for no answer and still serves new callers. It refuses new work early enough
/// for a statement that began before to end in time.
/// Thread safety: immutable.
class stop_schedule {
public:
    /// Precondition: `grace`, the time from `started` until the process is killed, is positive.
    stop_schedule(time_point started, milliseconds grace);

    /// Whether sessions that wait for no answer are closed.
    [[nodiscard]] bool closes_sessions(time_point now) const { return now >= close_sessions_at_; }
    /// Whether new callers and statements are refused and open transactions aborted.
    [[nodiscard]] bool refuses_work(time_point now) const { return now >= refuse_work_at_; }
    /// Until then statements that begin during the stop have to be answered.
    [[nodiscard]] time_point answer_deadline() const;
    /// When statements that still run are abandoned and the process ends.
    [[nodiscard]] time_point deadline() const { return deadline_; }

private:
    time_point close_sessions_at_;
    time_point refuse_work_at_;
    time_point deadline_;
};

}  // namespace masticgrade
