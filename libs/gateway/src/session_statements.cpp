#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <utility>

#include "caller_session.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Fraction of a statement's timeout that may pass before the statement is sent to an instance.
constexpr double queue_fraction = 0.6;
/// Fraction of the remaining time that one attempt of a read may use, to leave time for a retry on
/// another instance.
constexpr double first_attempt_fraction = 0.5;
constexpr unsigned max_attempts = 4;
/// Attempts of a read on replicas. Later attempts go to the primary, which has every commit.
constexpr std::size_t max_replica_attempts = 2;
/// Subtracted from a route's staleness bound for network transit and queuing at the instance.
constexpr milliseconds staleness_margin{250};
/// Delay before a statement is resent to an instance that was too busy to start it.
constexpr milliseconds busy_retry_delay{20};
/// Told to callers of a group that waits for a primary; about the time between two attempts to
/// promote one.
constexpr milliseconds no_primary_retry_delay{1000};
constexpr unsigned max_busy_attempts = 3;
constexpr milliseconds default_statement_timeout{5000};

time_point interpolate(time_point from, time_point until, double fraction) {
    return from + std::chrono::duration_cast<duration>((until - from) * fraction);
}

bool is_refusal(answer_code code) {
    return code == answer_code::busy || code == answer_code::lagging ||
           code == answer_code::read_only || code == answer_code::unknown_prepared ||
           code == answer_code::wrong_instance || code == answer_code::connection_limit;
}

/// Whether an instance that gave this answer began to run the statement.
bool was_run(answer_code code) {
    return code == answer_code::done || code == answer_code::failed ||
           code == answer_code::timeout || code == answer_code::in_doubt;
}

std::string retry_text(milliseconds wait) {
    return "not run, try again in " + std::to_string(wait.count()) + " ms";
}

}  // namespace

std::optional<statement_answer> caller_session::prepare_operation(operation& op) {
    const bool in_transaction = transaction_ && transaction_->route != nullptr;
    op.configuration =
        in_transaction ? transaction_->configuration : environment_.control.configuration();
    const auto found = op.configuration->routes.find(database_);
    if (found == op.configuration->routes.end()) {
        op.reason = "no_database";
        return refuse(answer_code::no_database, database_);
    }
    op.route = &found->second;
    if (environment_.refuses_work && !(transaction_ && transaction_->lease)) {
        op.reason = "host_stops";
        return refuse(answer_code::busy, "not run: this host stops, try another one");
    }
    if (transaction_ && transaction_->route == nullptr) {
        transaction_->configuration = op.configuration;
        transaction_->route = op.route;
    }
    op.group = environment_.find_group(op.route->group);
    const auto timeout = op.route->statement_timeout.count() > 0 ? op.route->statement_timeout
                                                                 : default_statement_timeout;
    op.deadline = std::min(op.started + timeout, environment_.serve_until);
    op.queue_deadline = interpolate(op.started, op.deadline, queue_fraction);
    if (const auto* action = std::get_if<plain_statement>(&op.statement.action)) {
        op.access = action->access;
    } else if (const auto* execution = std::get_if<execute_prepared>(&op.statement.action)) {
        const auto known = context_.prepared.find(execution->name);
        if (known == context_.prepared.end()) {
            op.reason = "unknown_prepared";
            return refuse(answer_code::unknown_prepared, execution->name);
        }
        op.prepared = known->second;
        op.access = known->second.access;
        op.arguments = execution->arguments;
    }
    if (auto refusal = check_authorization(*op.route, op.reason)) {
        return refusal;
    }
    if (transaction_ && transaction_->lease && transaction_->lease->customer() != customer_) {
        op.reason = "customer_changed";
        return refuse(answer_code::aborted, "the customer of the key has changed");
    }
    return std::nullopt;
}

std::optional<statement_answer> caller_session::admit(operation& op) {
    if (transaction_) {
        if (transaction_->admitted) {
            return std::nullopt;
        }
        transaction_->admitted = true;
    }
    const auto now = boot_clock::now();
    if (op.route->is_public || environment_.limiter.admit(customer_, now)) {
        return std::nullopt;
    }
    op.reason = "above_rate";
    const auto state = environment_.limiter.state_of(customer_, now);
    event_line{"rate_exceeded"}
        .field("request", op.statement.id)
        .field("customer", customer_)
        .field("tokens", std::lround(state.tokens))
        .field("allowance", std::lround(state.allowance))
        .field("set_aside_percent", std::lround(100 * state.reserved_fraction))
        .field("live_hosts", environment_.limiter.live_peer_count(now) + 1)
        .write();
    return refuse(answer_code::busy, retry_text(environment_.limiter.retry_after(customer_, now)));
}

asio::awaitable<statement_answer> caller_session::serve(const caller_statement& statement) {
    operation op{statement};
    auto refusal = prepare_operation(op);
    if (!refusal) {
        refusal = admit(op);
    }
    statement_answer answer;
    if (refusal) {
        answer = std::move(*refusal);
        if (std::holds_alternative<commit_transaction>(statement.action)) {
            transaction_.reset();
        } else if (transaction_) {
            transaction_->failed = true;
            transaction_->lease.reset();
        }
    } else if (!transaction_) {
        answer = co_await serve_single(op);
    } else if (std::holds_alternative<commit_transaction>(statement.action)) {
        answer = co_await serve_commit(op);
    } else {
        answer = co_await serve_in_transaction(op);
    }
    answer.phase = phase();
    if (op.reason == "configuration_too_old" || op.reason == "primary_unproven" ||
        op.reason == "host_stops") {
        // Closing the connection makes the caller reconnect, which may reach a host that can serve
        // it.
        closing_ = true;
    }
    record(op, answer);
    co_return answer;
}

asio::awaitable<statement_answer> caller_session::serve_single(operation& op) {
    if (std::holds_alternative<commit_transaction>(op.statement.action)) {
        op.reason = "no_transaction";
        co_return refuse(answer_code::malformed, "no transaction is open");
    }
    if (op.access == access_kind::write) {
        co_return co_await single_write(op);
    }
    co_return co_await single_read(op);
}

asio::awaitable<std::variant<connection_lease, statement_answer>> caller_session::acquire(
    operation& op, bool on_primary, const std::set<instance_id>& excluded) {
    acquire_request request;
    if (on_primary && op.group->leadership_is_unproven(boot_clock::now())) {
        op.reason = "primary_unproven";
        co_return refuse(answer_code::busy, "the current primary is unknown, try another host");
    }
    const bool needs_present_primary =
        on_primary || !op.group->proven_position(required_moment(op)).has_value();
    if (needs_present_primary && op.group->lacks_primary(steady_clock::now())) {
        op.reason = "no_primary";
        co_return refuse(answer_code::busy, retry_text(no_primary_retry_delay));
    }
    if (!on_primary) {
        request.excluded = excluded;
        request.at_least = co_await required_position(op);
        if (!request.at_least) {
            op.reason = "no_position_proof";
            co_return refuse(answer_code::busy, "the primary's position is unknown");
        }
    }
    request.queue_entry.customer = customer_;
    request.queue_entry.needs_primary = on_primary;
    request.queue_entry.deadline = op.queue_deadline;
    request.queue_entry.latest_start = op.started + op.route->latency_objective;
    request.queue_entry.priority = op.route->priority;
    auto result = co_await op.group->acquire(std::move(request));
    if (auto* lease = std::get_if<connection_lease>(&result)) {
        op.instance = lease->instance();
        // The key may have been revoked or moved while the statement was queued.
        if (auto refusal = check_authorization(*op.route, op.reason)) {
            co_return std::move(*refusal);
        }
        if (lease->customer() != customer_) {
            op.reason = "customer_changed";
            co_return refuse(answer_code::busy, "not run: the customer of the key has changed");
        }
        co_return std::move(*lease);
    }
    const bool overloaded = std::get<acquire_failure>(result) == acquire_failure::overloaded;
    op.reason = overloaded ? "overloaded" : "no_connection_in_time";
    constexpr milliseconds retry_hint{200};
    co_return refuse(answer_code::busy, retry_text(retry_hint));
}

boot_time caller_session::required_moment(const operation& op) const {
    const auto moment = boot_clock::now() - op.route->max_staleness + staleness_margin;
    if (op.route->consistency != read_consistency::session) {
        return moment;
    }
    return std::max(moment, commits_.moment_on(op.route->group).value_or(moment));
}

asio::awaitable<std::optional<log_index>> caller_session::required_position(operation& op) {
    const auto as_of = required_moment(op);
    const auto proven = co_await op.group->position_at(as_of, customer_, op.queue_deadline);
    if (!proven) {
        co_return std::nullopt;
    }
    if (op.route->consistency == read_consistency::session) {
        co_return std::max(proven, commits_.position_on(op.route->group));
    }
    co_return proven;
}

asio::awaitable<statement_answer> caller_session::execute_on(connection_lease& lease, operation& op,
                                                             std::optional<log_index> at_least,
                                                             bool proves_position) {
    const auto* needed = op.prepared ? &*op.prepared : nullptr;
    auto refused = co_await lease.apply_context(context_, needed, op.deadline);
    if (refused) {
        co_return std::move(*refused);
    }
    for (unsigned attempts = 1;; ++attempts) {
        backend_request request;
        if (op.prepared) {
            request = backend_execute{op.statement.id, backend_context::name_of(*op.prepared),
                                      op.arguments, at_least};
        } else {
            request = backend_statement{op.statement.id, op.statement.text, at_least};
        }
        const bool is_commit = std::holds_alternative<commit_transaction>(op.statement.action);
        const bool may_commit = is_commit || (!transaction_ && op.access == access_kind::write);
        auto deadline = op.deadline;
        if (!may_commit && !transaction_) {
            deadline = interpolate(steady_clock::now(), op.deadline, first_attempt_fraction);
        }
        // Callers of a fleet without usage reports do not pay for another coroutine.
        auto execution =
            environment_.on_operation_run
                ? execute_counted(lease, std::move(request), may_commit, proves_position, deadline)
                : lease.execute(std::move(request), may_commit, proves_position, deadline);
        auto answer = co_await std::move(execution);
        const bool still_open = !transaction_ || answer.phase == transaction_phase::open;
        if (answer.code != answer_code::busy || attempts == max_busy_attempts || !still_open ||
            steady_clock::now() + busy_retry_delay >= op.deadline) {
            co_return answer;
        }
        asio::steady_timer pause{environment_.executor, busy_retry_delay};
        co_await pause.async_wait(asio::use_awaitable);
        if (may_commit && !transaction_) {
            // A second refusal on this connection could be the first one repeated, after the write
            // has run.
            lease.discard();
            co_return answer;
        }
    }
}

void caller_session::count_operation(wall_time began_at) {
    const bool continues = transaction_ && std::exchange(transaction_->has_run, true);
    if (!continues && customer_ != anonymous_customer && environment_.on_operation_run) {
        environment_.on_operation_run(customer_, began_at);
    }
}

asio::awaitable<statement_answer> caller_session::execute_counted(connection_lease& lease,
                                                                  backend_request request,
                                                                  bool may_commit,
                                                                  bool proves_position,
                                                                  time_point deadline) {
    const auto sent_at = wall_clock::now();
    try {
        auto answer =
            co_await lease.execute(std::move(request), may_commit, proves_position, deadline);
        if (was_run(answer.code)) {
            // The statement may have waited for the instance after it was sent.
            count_operation(wall_clock::now());
        }
        co_return answer;
    } catch (const connection_error& failure) {
        if (failure.may_have_run()) {
            count_operation(sent_at);
        }
        throw;
    }
}

asio::awaitable<statement_answer> caller_session::single_read(operation& op) {
    std::set<instance_id> excluded;
    bool on_primary = op.route->consistency == read_consistency::current;
    statement_answer last = refuse(answer_code::busy, retry_text(busy_retry_delay));
    while (op.attempts < max_attempts && steady_clock::now() < op.queue_deadline) {
        ++op.attempts;
        auto acquired = co_await acquire(op, on_primary, excluded);
        if (auto* refusal = std::get_if<statement_answer>(&acquired)) {
            co_return std::move(*refusal);
        }
        auto& lease = std::get<connection_lease>(acquired);
        try {
            std::optional<log_index> at_least;
            if (on_primary) {
                auto begun = co_await lease.begin(false, std::nullopt, op.deadline);
                if (begun.code != answer_code::done) {
                    op.reason = "begin_refused";
                    last = std::move(begun);
                    continue;
                }
            } else {
                // The position proof may have expired while the statement was queued.
                at_least = co_await required_position(op);
                if (!at_least) {
                    continue;
                }
            }
            auto answer = co_await execute_on(lease, op, at_least, on_primary);
            if (answer.code == answer_code::done) {
                op.reason = "none";
                if (on_primary && answer.position) {
                    commits_.on_seen(op.route->group, *answer.position);
                }
                co_return answer;
            }
            op.reason = "instance_refused";
            excluded.insert(lease.instance());
            on_primary = on_primary || excluded.size() >= max_replica_attempts;
            last = std::move(answer);
        } catch (const warmup_limit_error&) {
            op.reason = "warmup_limit";
            excluded.insert(lease.instance());
            last = refuse(answer_code::busy, retry_text(busy_retry_delay));
        } catch (const connection_error& failure) {
            op.reason = "connection_lost";
            excluded.insert(lease.instance());
            last = refuse(answer_code::timeout, failure.reason());
        }
    }
    co_return last;
}

asio::awaitable<statement_answer> caller_session::single_write(operation& op) {
    const std::set<instance_id> no_instances;
    statement_answer last = refuse(answer_code::busy, retry_text(busy_retry_delay));
    while (op.attempts < max_attempts && steady_clock::now() < op.queue_deadline) {
        ++op.attempts;
        auto acquired = co_await acquire(op, true, no_instances);
        if (auto* refusal = std::get_if<statement_answer>(&acquired)) {
            co_return std::move(*refusal);
        }
        auto& lease = std::get<connection_lease>(acquired);
        bool sent = false;
        try {
            const auto* needed = op.prepared ? &*op.prepared : nullptr;
            auto refused = co_await lease.apply_context(context_, needed, op.deadline);
            if (refused) {
                last = std::move(*refused);
                continue;
            }
            sent = true;
            auto answer = co_await execute_on(lease, op, std::nullopt, true);
            if (answer.code == answer_code::done) {
                op.reason = "none";
                commits_.on_acknowledged(op.route->group, answer.position, boot_clock::now());
                co_return answer;
            }
            op.reason = "instance_refused";
            if (!is_refusal(answer.code)) {
                co_return answer;
            }
            last = std::move(answer);
        } catch (const warmup_limit_error&) {
            op.reason = "warmup_limit";
            last = refuse(answer_code::busy, retry_text(busy_retry_delay));
        } catch (const connection_error& failure) {
            op.reason = "connection_lost";
            if (sent && failure.may_have_run()) {
                co_return refuse(answer_code::in_doubt, "no answer from the instance");
            }
            last = refuse(answer_code::busy, retry_text(busy_retry_delay));
        }
    }
    co_return last;
}

}  // namespace masticgrade
