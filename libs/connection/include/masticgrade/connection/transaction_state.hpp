#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/connection/connection_pool.hpp"

namespace masticgrade {

/// Idle: `begin` was not answered yet. Finished and failed: no statement may follow.
enum class transaction_phase { idle, open, committing, finished, failed };

enum class transaction_statement { execute, commit, rollback };

enum class statement_permission {
    allowed,
    /// The transaction belongs to another customer.
    wrong_customer,
    /// The transaction lives on another backend connection.
    wrong_connection,
    /// `begin` or another statement of this transaction is not answered yet.
    busy,
    /// The commit was sent, or the transaction is over.
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
    /// The commit may have taken effect; `outcome_resolution` can find out by its key.
    resolvable,
};

/// The text for a refusal, for example "the transaction belongs to another customer".
std::string_view describe(statement_permission permission) noexcept;

/// A caller's transaction, bound to one customer and one backend connection, as a Boost.MSM state
/// machine: decides which statement may be sent where, and what a lost connection means.
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

    /// Asks to send a statement; when allowed, it counts as sent. `key` is the idempotency key of
    /// a commit, if the caller gave one.
    statement_permission send(transaction_statement statement, const customer_id& customer,
                              connection_number connection,
                              const std::optional<idempotency_key>& key, time_point now);

    // Each event returns whether it was allowed in the present phase; otherwise nothing changes.

    /// `begin` was answered with success.
    bool begun(connection_number connection);
    /// The statement in flight was answered with success. A commit is done only when a majority
    /// has confirmed it: see `acknowledged`.
    bool answered(connection_number connection);
    /// The database answered that it did not run `begin`, the statement or the commit, and has
    /// rolled the transaction back.
    bool refused(connection_number connection);
    /// A majority confirmed the commit.
    bool acknowledged();
    /// No majority confirmed the commit in time, or the term ended.
    bool not_acknowledged();
    /// The connection was lost, or closed because of a timeout.
    bool connection_lost();
    /// The result of `outcome_resolution`. Precondition: `outcome` is done, not_run or unknown.
    bool resolved(transaction_outcome outcome);

    [[nodiscard]] transaction_phase phase() const noexcept;
    [[nodiscard]] transaction_outcome outcome() const noexcept;
    [[nodiscard]] const transaction_id& id() const noexcept;
    [[nodiscard]] connection_number connection() const noexcept;
    /// The key of the commit; empty when it has none.
    [[nodiscard]] const idempotency_key& commit_key() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
