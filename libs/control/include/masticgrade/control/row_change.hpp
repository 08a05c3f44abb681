#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/net/table_service.hpp"
#include "masticgrade/version/change_marks.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

enum class change_outcome {
    /// The change is recorded.
    committed,
    /// Another change was committed first; this one will never take effect.
    conflict,
    /// The request never reached the platform; nothing was changed.
    not_sent,
    /// The change may have taken effect or may still take effect.
    unknown,
    /// The row already had the requested content; nothing was written.
    unchanged
};

struct change_result {
    change_outcome outcome = change_outcome::unknown;
    /// The version of the change or, after a conflict, of the row that caused it.
    fleet_version version;
    /// Why the last attempt had no conclusive response.
    std::string failure = {};
};

/// When to stop retrying a change, and how long to wait between attempts.
struct change_retry_policy {
    time_point deadline;
    milliseconds retry_interval{200};
};

/// Returns `bytes` random bytes in base64url. The default length is enough to
/// identify a change uniquely.
/// Throws masticgrade::error if OpenSSL cannot generate random bytes. Thread safety: reentrant.
std::string make_random_token(std::size_t bytes = 16);

/// Reads one row; returns std::nullopt if it does not exist. Throws masticgrade::error.
boost::asio::awaitable<std::optional<table_row>> read_row(table_service& table, std::string key,
                                                          time_point deadline);

/// Replaces a row if its version is still that of `base`. After a lost response the outcome is
/// resolved from the change marks of the row, so that a change that took effect is never reported
/// as failed.
/// Preconditions: `value` contains `mark`; `table` outlives the call.
/// Thread safety: calls may run concurrently.
boost::asio::awaitable<change_result> commit_row(table_service& table, row_put change,
                                                 std::string mark, row_state base,
                                                 change_retry_policy retry_policy);

/// Edits the operations of a fleet and returns whether it changed them; may throw.
using operations_edit = std::function<bool(const fleet_snapshot&, operations&)>;

/// Reads the fleet, applies `edit` to the operations and commits them; after a conflict it starts
/// over from the current fleet until the deadline.
boost::asio::awaitable<change_result> edit_operations(table_service& table, operations_edit edit,
                                                      change_retry_policy retry_policy);

}  // namespace masticgrade
