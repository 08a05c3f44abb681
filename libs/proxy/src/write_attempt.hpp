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
    /// May be empty; the write then runs at most once and is never repeated.
    idempotency_key idempotency;
    /// The latest term that the caller's session has seen.
    term_number session_term;
    time_point deadline;
};

struct write_result {
    outcome answer;
    /// Where the write is in the log, when it is done.
    session_position position;
};

/// Tells why new work may not start now; empty when it may.
using start_check = std::function<std::optional<std::string>()>;

/// Runs one write on the current primary of a group, across changes of the primary.
///
/// An attempt whose answer is lost is resolved by a cancel record under its idempotency key before
/// another attempt starts. Every attempt uses a key of its own, derived from the caller's key and
/// the number of the attempt, so that a caller who repeats its key after "not run" is served.
/// Preconditions: the coroutine runs on a strand, and `group` outlives it.
boost::asio::awaitable<write_result> run_write(group_runtime& group, write_request request,
                                               start_check may_start_work);

struct commit_request {
    customer_id customer;
    /// May be empty; a lost answer then leaves the outcome unknown.
    idempotency_key idempotency;
    /// The record under which the transaction was begun.
    group_record record;
    time_point deadline;
};

/// Commits the transaction that is open on a leased connection. A lost answer is resolved as for
/// `run_write`, but a cancelled commit is not attempted again, because its statements are gone.
/// Preconditions: as for `run_write`; the connection has an open transaction.
boost::asio::awaitable<write_result> run_commit(group_runtime& group, connection_lease& lease,
                                                commit_request request);

}  // namespace masticgrade
