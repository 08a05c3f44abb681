#include <utility>

#include "caller_session.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr unsigned max_begin_attempts = 4;
/// Attempts to begin a read-only transaction on replicas. Later attempts go to the primary, which
/// has every commit.
constexpr std::size_t max_replica_attempts = 2;

}  // namespace

asio::awaitable<std::optional<statement_answer>> caller_session::begin_on_instance(operation& op) {
    std::set<instance_id> excluded;
    bool on_primary =
        !transaction_->read_only || op.route->consistency == read_consistency::current;
    statement_answer last = refuse(answer_code::busy, "not run");
    while (op.attempts < max_begin_attempts && steady_clock::now() < op.queue_deadline) {
        ++op.attempts;
        auto acquired = co_await acquire(op, on_primary, excluded);
        if (auto* refusal = std::get_if<statement_answer>(&acquired)) {
            co_return std::move(*refusal);
        }
        auto& lease = std::get<connection_lease>(acquired);
        try {
            const auto* needed = op.prepared ? &*op.prepared : nullptr;
            auto refused = co_await lease.apply_context(context_, needed, op.deadline);
            if (refused) {
                last = std::move(*refused);
                continue;
            }
            std::optional<log_index> at_least;
            if (!on_primary) {
                // The position proof may have expired while the statement was queued.
                at_least = co_await required_position(op);
                if (!at_least) {
                    continue;
                }
            }
            auto begun = co_await lease.begin(!on_primary, at_least, op.deadline);
            if (begun.code == answer_code::done) {
                transaction_->on_primary = on_primary;
                transaction_->lease.emplace(std::move(lease));
                op.reason = "none";
                co_return std::nullopt;
            }
            op.reason = "begin_refused";
            excluded.insert(lease.instance());
            on_primary = on_primary || excluded.size() >= max_replica_attempts;
            last = std::move(begun);
        } catch (const connection_error& failure) {
            op.reason = "connection_lost";
            excluded.insert(lease.instance());
            last = refuse(answer_code::aborted, failure.reason());
        }
    }
    co_return last;
}

asio::awaitable<statement_answer> caller_session::serve_in_transaction(operation& op) {
    if (!transaction_->lease) {
        if (auto refusal = co_await begin_on_instance(op)) {
            transaction_->failed = true;
            co_return std::move(*refusal);
        }
    }
    auto& lease = *transaction_->lease;
    op.instance = lease.instance();
    statement_answer answer;
    try {
        answer = co_await execute_on(lease, op, std::nullopt, transaction_->on_primary);
        op.reason = answer.code == answer_code::done ? "none" : "instance_refused";
    } catch (const answer_mismatch_error& failure) {
        // The transaction may not have begun, so that a write took effect by itself.
        op.reason = "answer_mismatch";
        const bool in_doubt = op.access == access_kind::write && failure.may_have_run();
        answer = refuse(in_doubt ? answer_code::in_doubt : answer_code::aborted, failure.reason());
    } catch (const connection_error& failure) {
        // The instance rolls back the open transaction of a closed connection.
        op.reason = "connection_lost";
        answer = refuse(answer_code::aborted, failure.reason());
    }
    if (answer.code != answer_code::done) {
        transaction_->failed = true;
        transaction_->lease.reset();
    } else if (op.access == access_kind::write) {
        transaction_->wrote = true;
    }
    co_return answer;
}

asio::awaitable<statement_answer> caller_session::serve_commit(operation& op) {
    if (!transaction_->lease) {
        if (auto refusal = co_await begin_on_instance(op)) {
            transaction_.reset();
            co_return std::move(*refusal);
        }
    }
    op.instance = transaction_->lease->instance();
    const bool wrote = transaction_->wrote;
    statement_answer answer;
    try {
        answer = co_await execute_on(*transaction_->lease, op, std::nullopt, wrote);
        op.reason = answer.code == answer_code::done ? "none" : "instance_refused";
        if (answer.code == answer_code::done && wrote) {
            commits_.on_acknowledged(op.route->group, answer.position, boot_clock::now());
        }
    } catch (const connection_error& failure) {
        op.reason = "connection_lost";
        const bool in_doubt = wrote && failure.may_have_run();
        answer = refuse(in_doubt ? answer_code::in_doubt : answer_code::aborted, failure.reason());
    }
    transaction_.reset();
    co_return answer;
}

}  // namespace masticgrade
