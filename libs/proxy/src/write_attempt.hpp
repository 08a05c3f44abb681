#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "group_runtime.hpp"
#include "masticgrade/request/outcome.hpp"
#include "masticgrade/request/session_token.hpp"

namespace masticgrade {

struct write_request {
    customer_id customer;
    boost::json::value statement;
    /// May be empty; the write then runs at most once and is never retried.
    idempotency_key idempotency;
    /// The highest term seen by the caller's session.
    term_number session_term;
    time_point deadline;
};

struct write_result {
    outcome answer;
    /// The write's position in the log, if it is done.
    session_position position;
};

/// Returns why new work may not start now; empty if it may.
using start_check = std::function<std::optional<std::string>()>;

/// Runs one write on the current primary of a group and retries it when the primary changes.
///
/// If the answer to an attempt is lost, a cancel record under the attempt's idempotency key
/// resolves its outcome before another attempt starts. Each attempt has its own key, derived from
/// the caller's key and the attempt number, so that a caller can reuse its key after "not run".
/// Preconditions: the coroutine runs on a strand, and `group` outlives it.
boost::asio::awaitable<write_result> run_write(group_runtime& group, write_request request,
                                               start_check new_work_refusal);

struct commit_request {
    customer_id customer;
    /// May be empty; a lost answer then leaves the outcome unknown.
    idempotency_key idempotency;
    /// The group record at the begin of the transaction.
    group_record record;
    time_point deadline;
};

/// Commits the open transaction of a leased connection. A lost answer is resolved as for
/// `run_write`, but a cancelled commit is not retried, because its statements are rolled back.
/// Preconditions: as for `run_write`; the connection has an open transaction.
boost::asio::awaitable<write_result> run_commit(group_runtime& group, connection_lease& lease,
                                                commit_request request);

}  // namespace masticgrade
