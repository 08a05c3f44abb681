#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/connection/connection_pool.hpp"

namespace masticgrade {

/// `idle`: `begin` is not answered yet. `finished` and `failed`: no further statement is allowed.
enum class transaction_phase { idle, open, committing, finished, failed };

enum class transaction_statement { execute, commit, rollback };

enum class statement_permission {
    allowed,
    /// The transaction belongs to another customer.
    wrong_customer,
    /// The transaction uses another backend connection.
    wrong_connection,
    /// `begin` or another statement of the transaction is not answered yet.
    busy,
    /// The commit was sent or the transaction has ended.
    closed,
    past_deadline,
};

enum class transaction_outcome {
    /// Not decided yet.
    open,
    done,
    /// Rolled back, or never committed.
    not_run,
    /// The commit may have taken effect and has no idempotency key.
    unknown,
    /// The commit may have taken effect; `outcome_resolution` can determine that by its key.
    resolvable,
};

/// Returns the message for a refused statement.
std::string_view describe(statement_permission permission) noexcept;

/// The state of a caller's transaction, which is bound to one customer and one backend connection.
/// A Boost.MSM state machine decides which statements may be sent and which outcome follows from a
/// lost connection.
/// Thread safety: none; the owner serialises calls.
class transaction_state {
public:
    transaction_state(transaction_id id, customer_id customer, connection_number connection,
                      time_point deadline);
    transaction_state(const transaction_state&) = delete;
    transaction_state& operator=(const transaction_state&) = delete;
    transaction_state(transaction_state&&) noexcept;
    transaction_state& operator=(transaction_state&&) noexcept;
    ~transaction_state();

    /// Checks whether a statement may be sent, and records it as sent if so. `key` is the
    /// idempotency key of a commit, if the caller provided one.
    statement_permission send(transaction_statement statement, const customer_id& customer,
                              connection_number connection,
                              const std::optional<idempotency_key>& key, time_point now);

    // Each event returns whether it is allowed in the current phase; if not, nothing changes.

    /// `begin` succeeded.
    bool begun(connection_number connection);
    /// The statement in flight succeeded. A commit takes effect only after a majority has confirmed
    /// it (see `acknowledged`).
    bool answered(connection_number connection);
    /// The database did not run `begin`, the statement or the commit, and has rolled the
    /// transaction back.
    bool refused(connection_number connection);
    /// A majority confirmed the commit.
    bool acknowledged();
    /// No majority confirmed the commit in time, or the term ended.
    bool not_acknowledged();
    /// The connection was lost or was closed after a timeout.
    bool connection_lost();
    /// The result of `outcome_resolution`. Precondition: `outcome` is done, not_run or unknown.
    bool resolved(transaction_outcome outcome);

    [[nodiscard]] transaction_phase phase() const noexcept;
    [[nodiscard]] transaction_outcome outcome() const noexcept;
    [[nodiscard]] const transaction_id& id() const noexcept;
    [[nodiscard]] connection_number connection() const noexcept;
    /// The idempotency key of the commit; empty if it has none.
    [[nodiscard]] const idempotency_key& commit_key() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
