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
    /// Another change came first; this one will never take effect.
    conflict,
    /// The request never reached the platform; nothing was changed.
    not_sent,
    /// The change may have taken effect or may still do so.
    unknown,
    /// The row already was as wanted; nothing was written.
    unchanged
};

struct change_result {
    change_outcome outcome = change_outcome::unknown;
    /// The version of the change, or of the row that it lost to.
    fleet_version version;
    /// Why the last attempt had no clear answer.
    std::string failure = {};
};

/// How long to try, and how long to wait between attempts.
struct change_retry_policy {
    time_point deadline;
    milliseconds retry_interval{200};
};

/// A random text that identifies a change, or another random text of `bytes` bytes in base64url.
/// Throws masticgrade::error if OpenSSL has no randomness. Thread safety: reentrant.
std::string make_random_token(std::size_t bytes = 16);

/// Reads one row; nothing if it does not exist. Throws masticgrade::error.
boost::asio::awaitable<std::optional<table_row>> read_row(table_service& table, std::string key,
                                                          time_point deadline);

/// Replaces a row if it still is as `base`. An answer that is lost is resolved by reading the marks
/// of the row, so that a change is never reported as failed although it took effect.
/// Preconditions: `value` contains `mark`; `table` outlives the call.
/// Thread safety: calls may run concurrently.
boost::asio::awaitable<change_result> commit_row(table_service& table, row_put change,
                                                 std::string mark, row_state base,
                                                 change_retry_policy retry_policy);

/// Changes the operations of a fleet and returns whether there is something to change; may throw.
using operations_edit = std::function<bool(const fleet_snapshot&, operations&)>;

/// Reads the fleet, lets `edit` change the operations, and records them; starts again when another
/// change came first.
boost::asio::awaitable<change_result> edit_operations(table_service& table, operations_edit edit,
                                                      change_retry_policy retry_policy);

}  // namespace masticgrade
