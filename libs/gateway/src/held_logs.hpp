#pragma once

#include <map>
#include <optional>

#include "entry_history.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// The logs of the listed replicas that a failover attempt holds.
///
/// A hold is answered by whichever process has the instance's id at that moment. One that has just
/// started, with an empty log, may not be in the directory yet, while the entry of its earlier
/// process still is. So the log is that of the listed process only if that process still ran after
/// the log was first seen to end at this position.
///
/// Lives as long as a failover attempt. Thread safety: none. Does not read the clock.
class held_logs {
public:
    /// Forgets all logs.
    void clear() { logs_.clear(); }
    /// A round of hold requests begins. Logs that are not added in it are forgotten when it ends.
    void begin_round() { round_.clear(); }
    /// The process has answered a hold request with `status` before `answered_at`.
    void add(const log_holder& holder, const instance_status& status, boot_time answered_at);
    void end_round() { logs_ = round_; }

    /// The end of the log, or nullopt if the process is not held.
    [[nodiscard]] std::optional<log_index> position_of(const log_holder& holder) const;
    /// Whether the position is that of the holder's own process.
    [[nodiscard]] bool is_confirmed(const log_holder& holder, const entry_history& entries) const;
    /// The same, shown by writes of the process.
    [[nodiscard]] bool is_confirmed_by_writes(const log_holder& holder,
                                              const entry_history& entries) const;

private:
    struct held_log {
        log_index position;
        /// Since when the log ends there.
        boot_time since;
    };

    std::map<log_holder, held_log> logs_;
    std::map<log_holder, held_log> round_;
};

}  // namespace masticgrade
