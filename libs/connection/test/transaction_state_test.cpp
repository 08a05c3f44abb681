#include "masticgrade/connection/transaction_state.hpp"

#include <doctest/doctest.h>

#include "masticgrade/base/invariant.hpp"

using namespace masticgrade;

namespace {

constexpr time_point begin{seconds{100}};
const customer_id owner{"lindqvist"};
constexpr connection_number own_connection{7};
constexpr connection_number other_connection{8};

transaction_state open_transaction() {
    transaction_state transaction{transaction_id{"t"}, owner, own_connection, begin + seconds{5}};
    REQUIRE(transaction.begun(own_connection));
    return transaction;
}

statement_permission send(transaction_state& transaction, transaction_statement statement,
                          const std::optional<idempotency_key>& key = std::nullopt) {
    return transaction.send(statement, owner, own_connection, key, begin);
}

}  // namespace

// Guards against mixing statements of different transactions or customers on one connection.
TEST_CASE("a statement of another customer or connection is refused") {
    auto transaction = open_transaction();
    CHECK(transaction.send(transaction_statement::execute, customer_id{"amakusa"}, own_connection,
                           {}, begin) == statement_permission::wrong_customer);
    CHECK(transaction.send(transaction_statement::execute, owner, other_connection, {}, begin) ==
          statement_permission::wrong_connection);
    CHECK(send(transaction, transaction_statement::execute) == statement_permission::allowed);
    const auto before = invariant_violations();
    CHECK_FALSE(transaction.answered(other_connection));
    CHECK(invariant_violations() == before + 1);
    CHECK(send(transaction, transaction_statement::execute) == statement_permission::busy);
    CHECK(transaction.answered(own_connection));
    CHECK(send(transaction, transaction_statement::execute) == statement_permission::allowed);
}

// Guards against statements that run after the end of the transaction or its deadline.
TEST_CASE("no statement is allowed after a commit, a rollback or the deadline") {
    auto committed = open_transaction();
    CHECK(send(committed, transaction_statement::commit) == statement_permission::allowed);
    CHECK(committed.phase() == transaction_phase::committing);
    CHECK(send(committed, transaction_statement::execute) == statement_permission::closed);
    CHECK(committed.answered(own_connection));
    CHECK(committed.outcome() == transaction_outcome::open);
    CHECK(committed.acknowledged());
    CHECK(committed.phase() == transaction_phase::finished);
    CHECK(committed.outcome() == transaction_outcome::done);

    auto rolled_back = open_transaction();
    CHECK(send(rolled_back, transaction_statement::rollback) == statement_permission::allowed);
    CHECK(rolled_back.answered(own_connection));
    CHECK(rolled_back.outcome() == transaction_outcome::not_run);
    CHECK(send(rolled_back, transaction_statement::commit) == statement_permission::closed);

    auto late = open_transaction();
    CHECK(late.send(transaction_statement::execute, owner, own_connection, {},
                    begin + seconds{6}) == statement_permission::past_deadline);

    transaction_state opening{transaction_id{"t"}, owner, own_connection, begin + seconds{5}};
    CHECK(send(opening, transaction_statement::commit) == statement_permission::busy);
    CHECK_FALSE(opening.acknowledged());
}

// Guards against reporting "not run" for a commit that may have taken effect.
TEST_CASE(
    "a connection lost while committing leaves the outcome unknown or resolvable by its key") {
    auto before_commit = open_transaction();
    send(before_commit, transaction_statement::execute);
    CHECK(before_commit.connection_lost());
    CHECK(before_commit.outcome() == transaction_outcome::not_run);

    auto without_key = open_transaction();
    send(without_key, transaction_statement::commit);
    CHECK(without_key.connection_lost());
    CHECK(without_key.outcome() == transaction_outcome::unknown);
    CHECK_FALSE(without_key.resolved(transaction_outcome::not_run));

    auto with_key = open_transaction();
    send(with_key, transaction_statement::commit, idempotency_key{"k"});
    CHECK(with_key.answered(own_connection));
    CHECK(with_key.not_acknowledged());
    CHECK(with_key.outcome() == transaction_outcome::resolvable);
    CHECK(with_key.resolved(transaction_outcome::done));
    CHECK(with_key.outcome() == transaction_outcome::done);
    CHECK_FALSE(with_key.resolved(transaction_outcome::not_run));

    auto refused = open_transaction();
    send(refused, transaction_statement::commit);
    CHECK(refused.refused(own_connection));
    CHECK(refused.outcome() == transaction_outcome::not_run);
    CHECK_FALSE(refused.connection_lost());
}
