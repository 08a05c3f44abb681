#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// The caller's name for one statement. It reaches the backend server unchanged.
using statement_id = strong_id<struct statement_id_tag>;

enum class access_kind { read, write };

// ---- what a caller asks for ----

struct begin_transaction {
    bool read_only = false;
};
struct commit_transaction {};
struct rollback_transaction {};
/// A statement whose text the backend server understands and that needs nothing prepared.
struct plain_statement {
    access_kind access = access_kind::read;
};
struct set_value {
    std::string name;
    std::string value;
};
struct prepare_statement {
    std::string name;
    access_kind access = access_kind::read;
    std::string shape;
};
struct execute_prepared {
    std::string name;
    std::string arguments;
};
struct release_prepared {
    std::string name;
};
/// A text that is none of the above.
struct malformed_statement {
    std::string reason;
};

using statement_action = std::variant<begin_transaction, commit_transaction, rollback_transaction,
                                      plain_statement, set_value, prepare_statement,
                                      execute_prepared, release_prepared, malformed_statement>;

struct caller_statement {
    statement_id id;
    std::string text;
    statement_action action;
};

/// How a caller opens a session.
struct session_request {
    std::string database;
    /// The presented key; empty on routes that are open to all.
    std::string key;
};

// ---- answers ----

enum class answer_code {
    done,
    // The statement did not run, and nothing of the attempt is kept.
    busy,
    aborted,
    lagging,
    read_only,
    wrong_instance,
    connection_limit,
    unknown_prepared,
    unauthorized,
    no_database,
    too_large,
    malformed,
    // The statement ran, or may have run.
    failed,
    timeout,
    in_doubt,
};

/// The name of a code in logs and metrics. Thread safety: reentrant.
std::string_view to_string(answer_code code) noexcept;

enum class transaction_phase { none, open, failed };

/// The answer to one statement, from a backend server or made by this process.
struct statement_answer {
    answer_code code = answer_code::done;
    /// The error's text, or the backend server's signature of a success; "-" for a success that no
    /// backend server was asked for.
    std::string text = "-";
    std::vector<std::string> rows;
    transaction_phase phase = transaction_phase::none;
    /// The end of the backend server's log when it answered.
    std::optional<log_index> position;
};

// ---- what a backend server is asked for ----

/// Starts a transaction; a plain one is refused by an instance that is not the primary.
struct backend_begin {
    bool read_only = false;
    std::optional<log_index> at_least;
};
struct backend_rollback {};
/// Forwards a caller's statement or commit with its id and text.
struct backend_statement {
    statement_id id;
    std::string text;
    /// Refused with `lagging` when the instance's log does not reach this far. Reads only.
    std::optional<log_index> at_least;
};
/// Forwards a caller's execution of a prepared statement under the connection's own name for it.
struct backend_execute {
    statement_id id;
    std::string name;
    std::string arguments;
    std::optional<log_index> at_least;
};
struct backend_set {
    std::string name;
    std::string value;
};
struct backend_prepare {
    std::string name;
    access_kind access = access_kind::read;
    std::string shape;
};
/// Drops all values and prepared statements of the connection.
struct backend_reset {};
struct backend_status {};
/// Stops a replica from receiving until a promotion or `backend_resume`; refused unless the term is
/// above every term that the replica knows.
struct backend_hold {
    term_number term;
};
struct backend_resume {};
/// Makes a primary of a lower term a replica, so that it acknowledges nothing more.
struct backend_step_down {
    term_number term;
};

using backend_request =
    std::variant<backend_begin, backend_rollback, backend_statement, backend_execute, backend_set,
                 backend_prepare, backend_reset, backend_status, backend_hold, backend_resume,
                 backend_step_down>;

/// What an instance says about itself.
struct instance_status {
    bool is_primary = false;
    term_number term;
    /// The end of the log as received, which may not be applied yet.
    log_index received;
    /// The term of the hold in force; zero when there is none.
    term_number held;
};

}  // namespace masticgrade
