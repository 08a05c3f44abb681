#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "backend_group.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Number of requests that run a caller's statement on the instance.
std::size_t count_statements(const std::vector<backend_request>& requests) {
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [](const backend_request& request) {
            return std::holds_alternative<backend_statement>(request) ||
                   std::holds_alternative<backend_execute>(request);
        }));
}

}  // namespace

connection_lease::connection_lease(std::shared_ptr<backend_group> group,
                                   std::unique_ptr<pooled_connection> connection)
    : group_(std::move(group)), connection_(std::move(connection)) {}

connection_lease::~connection_lease() {
    if (connection_) {
        group_->release_connection(std::move(connection_));
    }
}

void connection_lease::discard() { connection_->close(); }

asio::awaitable<std::vector<statement_answer>> connection_lease::run(
    std::vector<backend_request> requests, time_point deadline) {
    std::vector<statement_answer> answers;
    if (connection_->remote) {
        answers = co_await connection_->remote->run(std::move(requests), deadline);
    } else {
        answers = co_await connection_->link->run(std::move(requests), deadline);
    }
    connection_->last_used = steady_clock::now();
    connection_->in_transaction = answers.back().phase != transaction_phase::none;
    co_return answers;
}

void connection_lease::check_leadership(bool is_commit) {
    const bool continues_transaction = connection_->in_transaction && !is_commit;
    if (!connection_->needs_primary || continues_transaction ||
        group_->may_lead(connection_->instance, boot_clock::now())) {
        return;
    }
    if (connection_->in_transaction) {
        // The instance rolls back the transaction.
        connection_->close();
    }
    throw connection_error("send", connection_->instance.str(), "it may no longer be the primary",
                           false);
}

void connection_lease::check_acknowledgement(const statement_answer& answer,
                                             boot_time sent_at) const {
    // A commit answered in an earlier term may have been rolled back although its instance leads
    // again.
    const auto& failover = group_->last_failover();
    const bool is_outdated = answer.position && answer.position->term < failover.term;
    if (!connection_->needs_primary ||
        (!is_outdated && group_->may_lead(connection_->instance, boot_clock::now()))) {
        return;
    }
    event_line{"acknowledgement_withheld"}
        .field("group", group_->name())
        .field("instance", connection_->instance)
        .field("position", answer.position.value_or(log_index{}))
        .field("leased", connection_->remote != nullptr)
        .field("fence", failover.fence)
        .field("open", failover.open)
        .field("target", failover.target)
        .field("term", failover.term)
        .field_ms("age_ms", boot_clock::now() - sent_at)
        .write();
    throw connection_error("acknowledge", connection_->instance.str(),
                           "it may no longer be the primary", true);
}

asio::awaitable<std::vector<statement_answer>> connection_lease::run_observed(
    std::vector<backend_request> requests, bool is_commit, time_point deadline) {
    // A statement that waits for the warm-up limit has to be counted, or new operations take its
    // place.
    group_->on_run_started(*connection_);
    const scope_guard ended{[this] { group_->on_run_ended(*connection_); }};
    if (!connection_->remote && group_->is_warming_up(connection_->instance)) {
        co_await group_->await_warmup(connection_->instance, count_statements(requests), deadline);
    }
    check_leadership(is_commit);
    const auto sent_at = steady_clock::now();
    group_->on_request_sent(connection_->instance, is_commit);
    std::vector<statement_answer> answers;
    try {
        answers = co_await run(std::move(requests), deadline);
    } catch (const answer_mismatch_error&) {
        group_->on_answer_mismatch(connection_->instance);
        throw;
    } catch (const connection_error&) {
        group_->on_no_answer(connection_->instance, is_commit);
        if (!connection_->remote) {
            group_->on_connection_lost(*connection_, sent_at);
        }
        throw;
    }
    group_->on_answer(connection_->instance, is_commit, steady_clock::now() - sent_at,
                      answers.back());
    co_return answers;
}

asio::awaitable<std::optional<statement_answer>> connection_lease::apply_context(
    const session_context& session, const prepared_statement* needed, time_point deadline) {
    if (connection_->remote) {
        connection_->remote->set_context(session, needed);
        co_return std::nullopt;
    }
    auto requests = connection_->context.setup_requests(session, needed);
    if (requests.empty()) {
        co_return std::nullopt;
    }
    auto answers = co_await run_observed(std::move(requests), false, deadline);
    for (auto& answer : answers) {
        if (answer.code != answer_code::done) {
            // The context of the connection is now unknown.
            discard();
            co_return std::move(answer);
        }
    }
    connection_->context.on_setup_succeeded(session, needed);
    co_return std::nullopt;
}

asio::awaitable<statement_answer> connection_lease::begin(bool read_only,
                                                          std::optional<log_index> at_least,
                                                          time_point deadline) {
    std::vector<backend_request> requests;
    requests.emplace_back(backend_begin{read_only, at_least});
    const auto sent_at = boot_clock::now();
    auto answers = co_await run_observed(std::move(requests), false, deadline);
    record_answer(answers.front(), !read_only, sent_at);
    co_return std::move(answers.front());
}

asio::awaitable<statement_answer> connection_lease::execute(backend_request request, bool is_commit,
                                                            bool proves_position,
                                                            time_point deadline) {
    std::vector<backend_request> requests;
    requests.push_back(std::move(request));
    const auto sent_at = boot_clock::now();
    const auto seen_before = group_->highest_position(connection_->instance);
    auto answers = co_await run_observed(std::move(requests), is_commit, deadline);
    auto answer = std::move(answers.front());
    if (is_commit && proves_position && answer.code == answer_code::done) {
        if (answer.position && seen_before && *answer.position < *seen_before) {
            group_->on_position_fell(connection_->instance, *answer.position);
        }
        group_->on_commit_answered(answer.position);
        check_acknowledgement(answer, sent_at);
        if (answer.position) {
            group_->on_acknowledged(*answer.position, seen_before);
        }
    }
    record_answer(answer, proves_position, sent_at);
    if (answer.code == answer_code::unknown_prepared) {
        // The connection lost its context and must not be reused for another session.
        discard();
    }
    co_return answer;
}

asio::awaitable<std::vector<statement_answer>> connection_lease::execute_all(
    std::vector<backend_request> requests, time_point deadline) {
    // Only a primary starts a read-write transaction, so its answer proves a position.
    std::vector<bool> proves;
    proves.reserve(requests.size());
    for (const auto& request : requests) {
        const auto* begin = std::get_if<backend_begin>(&request);
        proves.push_back(begin != nullptr && !begin->read_only);
    }
    const auto sent_at = boot_clock::now();
    auto answers = co_await run_observed(std::move(requests), false, deadline);
    for (std::size_t i = 0; i < answers.size() && i < proves.size(); ++i) {
        if (proves[i]) {
            record_answer(answers[i], true, sent_at);
        }
    }
    co_return answers;
}

void connection_lease::record_answer(const statement_answer& answer, bool proves_position,
                                     boot_time sent_at) {
    if (answer.code == answer_code::done && proves_position && answer.position) {
        group_->add_proof(connection_->instance, sent_at, *answer.position);
    }
    if (answer.code == answer_code::read_only) {
        group_->on_primary_denied(connection_->instance);
    }
}

}  // namespace masticgrade
