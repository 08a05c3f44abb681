#pragma once

#include <map>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// The logs of the listed replicas that a failover attempt holds.
///
/// A hold is answered by whichever process has the instance's id at that moment. One that has just
/// started, with an empty log, may not be in the directory yet, while the entry of its earlier
/// process still is. The directory drops the entry of a process that has ended within the lifetime
/// of entries. So the log is that of the listed process only if the same process is still listed
/// that long after the log was first seen to end at this position.
///
/// Lives as long as a failover attempt. Thread safety: none. Does not read the clock.
class held_logs {
public:
    /// Precondition: `entry_lifetime` > 0.
    explicit held_logs(milliseconds entry_lifetime) : entry_lifetime_(entry_lifetime) {}

    /// Forgets all logs.
    void clear() { logs_.clear(); }
    /// A round of hold requests begins. Logs that are not added in it are forgotten when it ends.
    void begin_round() { round_.clear(); }
    /// The process has answered a hold request that was sent after `asked_at` with `status`.
    void add(const log_holder& holder, const instance_status& status, time_point asked_at);
    void end_round() { logs_ = round_; }

    /// The end of the log, or nullopt if the process is not held.
    [[nodiscard]] std::optional<log_index> position_of(const log_holder& holder) const;
    /// Whether the position is that of the holder's own process. Precondition: a read of the
    /// directory that was sent at `read_at` lists the holder.
    [[nodiscard]] bool is_confirmed(const log_holder& holder, time_point read_at) const;

private:
    struct held_log {
        log_index position;
        /// Since when the log ends there.
        time_point since;
    };

    milliseconds entry_lifetime_;
    std::map<log_holder, held_log> logs_;
    std::map<log_holder, held_log> round_;
};

}  // namespace masticgrade
