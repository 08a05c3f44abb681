#pragma once

#include <optional>
#include <string_view>

#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// What a promotion knows about the log of a log holder.
enum class log_state {
    /// A listed replica that receives nothing more.
    held,
    /// The same, but the process that is held may have started after the listed one ended.
    held_unconfirmed,
    /// A running instance that is not in the directory, so that its process is not known.
    held_unlisted,
    /// The process has ended, and a held log reaches its bound, see failover_record.
    covered,
    /// The old primary, which has confirmed that it no longer leads.
    stepped_down,
    /// Listed, but not held as this process: it has started or registered since the last hold.
    not_held,
    /// Not in the directory, and gives no answer at its last address.
    silent,
    /// Runs, but did not execute the hold request.
    refused,
    /// The process has ended, and its log may be lost: a later process of the instance is listed,
    /// or
    /// one at its address was started again empty since.
    earlier_process,
    /// Another instance has its address, and may not have received its log yet.
    successor_only,
    /// The old primary, which has not confirmed that it no longer leads.
    primary_silent,
    /// The old primary, which no longer led when it was ordered to step down. It may have started
    /// again without its log.
    primary_unconfirmed,
};

/// Thread safety: reentrant.
std::string_view to_string(log_state state);
/// Whether the end of the log is known and does not change. Thread safety: reentrant.
bool is_known(log_state state);

struct counted_log {
    log_holder holder;
    log_state state = log_state::silent;
    /// The end of the log, or with `successor_only` that of the successor's, if it has answered.
    std::optional<log_index> position = {};
};

}  // namespace masticgrade
