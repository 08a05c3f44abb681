#include <utility>

#include "caller_session.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr unsigned most_begin_tries = 4;
/// After these a read-only transaction goes to the primary, which has every commit.
constexpr std::size_t most_replica_tries = 2;

}  // namespace

asio::awaitable<std::optional<statement_answer>> caller_session::begin_on_instance(operation& op) {
    std::set<instance_id> avoid;
    bool plain = !transaction_->read_only || op.route->consistency == read_consistency::current;
    statement_answer last = refuse(answer_code::busy, "not run");
    while (op.tries < most_begin_tries && steady_clock::now() < op.give_up) {
        ++op.tries;
        auto acquired = co_await acquire(op, plain, avoid);
        if (auto* refusal = std::get_if<statement_answer>(&acquired)) {
            co_return std::move(*refusal);
        }
        auto& lease = std::get<connection_lease>(acquired);
        try {
            const auto* needed = op.shape ? &*op.shape : nullptr;
            auto refused = co_await lease.apply_context(context_, needed, op.deadline);
            if (refused) {
                last = std::move(*refused);
                continue;
            }
            std::optional<log_index> at_least;
            if (!plain) {
                // The wait may have outlived the proof that was found before it.
                at_least = co_await needed_position(op);
                if (!at_least) {
                    continue;
                }
            }
            auto begun = co_await lease.begin(!plain, at_least, op.deadline);
            if (begun.code == answer_code::done) {
                transaction_->plain = plain;
                transaction_->lease.emplace(std::move(lease));
                op.reason = "none";
                co_return std::nullopt;
            }
            op.reason = "begin_refused";
            avoid.insert(lease.instance());
            plain = plain || avoid.size() >= most_replica_tries;
            last = std::move(begun);
        } catch (const connection_error& failure) {
            op.reason = "connection_lost";
            avoid.insert(lease.instance());
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
        answer = co_await run_on(lease, op, std::nullopt, transaction_->plain);
        op.reason = answer.code == answer_code::done ? "none" : "instance_refused";
    } catch (const connection_error& failure) {
        // The instance rolls back what a closed connection had open.
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
        answer = co_await run_on(*transaction_->lease, op, std::nullopt, wrote);
        op.reason = answer.code == answer_code::done ? "none" : "instance_refused";
        if (answer.code == answer_code::done && wrote && answer.position) {
            op.group->on_acknowledged(*answer.position);
            last_commit_ = answer.position;
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
