#include "caller_session.hpp"

#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Time within which a new connection must send the request that opens the session.
constexpr milliseconds open_timeout{3000};
/// Time that a host that stops gives a caller that has just connected or opened its session;
/// several round trips.
constexpr milliseconds first_request_timeout{200};

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

caller_session::caller_session(std::shared_ptr<caller_connection> link,
                               session_environment& environment)
    : link_(std::move(link)),
      environment_(environment),
      idle_since_(steady_clock::now()),
      first_request_deadline_(idle_since_ + first_request_timeout) {}

asio::awaitable<void> caller_session::run() {
    const auto self = shared_from_this();
    try {
        if (!co_await open()) {
            co_return;
        }
        first_request_deadline_ = steady_clock::now() + first_request_timeout;
        while (!closing_ || has_work()) {
            idle_since_ = steady_clock::now();
            const auto statement = co_await link_->next();
            if (!statement && requested_abort_) {
                perform_requested_abort();
                continue;
            }
            if (!statement) {
                break;
            }
            requested_abort_.reset();
            busy_ = true;
            first_request_deadline_ = {};
            running_ = statement->id;
            statement_answer answer;
            try {
                answer = co_await handle(*statement);
            } catch (const std::exception& failure) {
                answer = on_unexpected_error(*statement, failure.what());
            }
            if (!running_) {
                // `abandon_statement` has answered and closes the connection.
                transaction_.reset();
                co_return;
            }
            running_.reset();
            co_await deliver(statement->id, answer);
            busy_ = false;
        }
        if (closing_) {
            event_line{"session_closed"}
                .field("customer", customer_)
                .field("database", database_)
                .field("has_pending_input", link_->has_pending_input())
                .field_ms("idle_ms", steady_clock::now() - idle_since_)
                .write();
        }
    } catch (const connection_error& failure) {
        event_line{"caller_lost"}
            .field("customer", customer_)
            .field("database", database_)
            .field("reason", failure.what())
            .write();
    }
    busy_ = false;
    transaction_.reset();
    link_->close();
}

statement_answer caller_session::on_unexpected_error(const caller_statement& statement,
                                                     std::string_view reason) {
    event_line{"statement_failed"}
        .field("request", statement.id)
        .field("customer", customer_)
        .field("database", database_)
        .field("reason", reason)
        .write();
    environment_.metrics.count("masticgrade_statement_failures_total",
                               "Statements that ended with an unexpected error.");
    closing_ = true;
    if (transaction_ && transaction_->lease) {
        // The state of the connection is unknown.
        transaction_->lease->discard();
    }
    transaction_.reset();
    return refuse(answer_code::in_doubt, "unexpected error, the statement may have run");
}

asio::awaitable<void> caller_session::deliver(const statement_id& statement,
                                              const statement_answer& answer) {
    try {
        co_await link_->answer(answer);
    } catch (const connection_error& failure) {
        event_line{"answer_undelivered"}
            .field("request", statement)
            .field("customer", customer_)
            .field("database", database_)
            .field("code", to_string(answer.code))
            .field("closing", closing_)
            .field_ms("took_ms", steady_clock::now() - idle_since_)
            .field("reason", failure.reason())
            .write();
        throw;
    }
}

asio::awaitable<bool> caller_session::open() {
    const auto request = co_await link_->open(steady_clock::now() + open_timeout);
    if (!request) {
        co_return false;
    }
    busy_ = true;
    const scope_guard done{[this] { busy_ = false; }};
    database_ = request->database;
    if (!request->key.empty()) {
        key_ = digest_key(request->key);
    }
    const auto& configuration = environment_.control.configuration();
    std::string reason = "no_configuration";
    std::optional<statement_answer> refusal;
    if (environment_.refuses_work) {
        reason = "host_stops";
        refusal = refuse(answer_code::busy, "this host stops, try another one");
    } else if (!configuration) {
        refusal = refuse(answer_code::busy, "this host has no configuration yet");
    } else if (const auto found = configuration->routes.find(database_);
               found != configuration->routes.end()) {
        refusal = check_authorization(found->second, reason);
    } else if (environment_.control.is_current(boot_clock::now(),
                                               control_state::not_found_max_age)) {
        reason = "no_database";
        refusal = refuse(answer_code::no_database, database_);
    } else {
        reason = "configuration_too_old";
        refusal = refuse(answer_code::busy, "the configuration is too old to tell");
    }
    if (!refusal) {
        co_await link_->accept();
        co_return true;
    }
    event_line{"session_refused"}
        .field("database", database_)
        .field("code", to_string(refusal->code))
        .field("reason", reason)
        .field("version", configuration ? configuration->version : 0)
        .write();
    co_await link_->refuse(refusal->code, refusal->text);
    co_return false;
}

std::optional<statement_answer> caller_session::check_authorization(const database_route& route,
                                                                    std::string& reason) {
    const auto& control = environment_.control;
    const auto now = boot_clock::now();
    const key_owner* owner = key_ ? control.configuration()->keys->find(*key_) : nullptr;
    if (owner != nullptr) {
        customer_ = owner->customer;
    }
    if (route.is_public) {
        if (owner == nullptr) {
            customer_ = anonymous_customer;
        }
        return std::nullopt;
    }
    if (!control.is_current(now, control_state::request_max_age)) {
        reason = "configuration_too_old";
        return refuse(answer_code::busy, "the configuration is too old, try another host");
    }
    if (owner != nullptr) {
        return std::nullopt;
    }
    if (!control.is_current(now, control_state::not_found_max_age)) {
        reason = "configuration_too_old";
        return refuse(answer_code::busy, "the configuration is too old to tell");
    }
    reason = "unknown_key";
    return refuse(answer_code::unauthorized, "unknown key");
}

transaction_phase caller_session::phase() const {
    if (!transaction_) {
        return transaction_phase::none;
    }
    return transaction_->failed ? transaction_phase::failed : transaction_phase::open;
}

statement_answer caller_session::refuse(answer_code code, std::string text) const {
    statement_answer answer;
    answer.code = code;
    answer.text = std::move(text);
    answer.phase = phase();
    return answer;
}

void caller_session::tick(time_point now) {
    if (busy_ || !transaction_ || transaction_->failed || !transaction_->lease) {
        return;
    }
    if (now - idle_since_ > transaction_->configuration->transaction_idle_limit) {
        abort_transaction("idle_limit");
    }
}

void caller_session::abort_transaction(std::string reason) {
    if (busy_ || !transaction_ || transaction_->failed || link_->has_pending_input()) {
        return;
    }
    requested_abort_ = std::move(reason);
    link_->stop_waiting();
}

void caller_session::perform_requested_abort() {
    event_line{"transaction_aborted"}
        .field("customer", customer_)
        .field("database", database_)
        .field("reason", *requested_abort_)
        .write();
    requested_abort_.reset();
    transaction_->failed = true;
    transaction_->lease.reset();
}

void caller_session::close_when_idle() {
    closing_ = true;
    if (!busy_ && !has_work()) {
        link_->stop_waiting();
    }
}

asio::awaitable<void> caller_session::abandon_statement() {
    const auto self = shared_from_this();
    const auto statement = std::exchange(running_, std::nullopt);
    if (!statement) {
        co_return;
    }
    const auto answer =
        refuse(answer_code::in_doubt, "this host stops, the statement may have run");
    try {
        co_await deliver(*statement, answer);
        event_line{"statement_abandoned"}
            .field("request", *statement)
            .field("customer", customer_)
            .field("database", database_)
            .field_ms("took_ms", steady_clock::now() - idle_since_)
            .write();
    } catch (const connection_error&) {
        // `deliver` has logged the failure.
    }
    link_->close();
}

bool caller_session::has_work() {
    return transaction_ || steady_clock::now() < first_request_deadline_ ||
           link_->has_pending_input();
}

asio::awaitable<statement_answer> caller_session::handle(const caller_statement& statement) {
    const bool runs_on_instance = std::holds_alternative<plain_statement>(statement.action) ||
                                  std::holds_alternative<execute_prepared>(statement.action) ||
                                  std::holds_alternative<commit_transaction>(statement.action);
    const bool failed = transaction_ && transaction_->failed;
    if (!runs_on_instance || failed) {
        co_return handle_locally(statement);
    }
    co_return co_await serve(statement);
}

statement_answer caller_session::handle_locally(const caller_statement& statement) {
    const bool failed = transaction_ && transaction_->failed;
    const auto ends_transaction = [&](answer_code code, std::string text) {
        transaction_.reset();
        return refuse(code, std::move(text));
    };
    if (std::holds_alternative<rollback_transaction>(statement.action)) {
        return ends_transaction(answer_code::done, "-");
    }
    if (failed) {
        if (std::holds_alternative<commit_transaction>(statement.action)) {
            return ends_transaction(answer_code::aborted, "the transaction had failed");
        }
        return refuse(answer_code::malformed, "the transaction has failed");
    }
    std::optional<std::string> rejection;
    std::visit(
        overloaded{[&](const begin_transaction& action) {
                       if (transaction_) {
                           rejection = "a transaction is open";
                           return;
                       }
                       transaction_.emplace();
                       transaction_->read_only = action.read_only;
                   },
                   [&](const set_value& action) { context_.values[action.name] = action.value; },
                   [&](const prepare_statement& action) {
                       context_.prepared[action.name] = {action.access, action.shape};
                   },
                   [&](const release_prepared& action) { context_.prepared.erase(action.name); },
                   [&](const malformed_statement& action) { rejection = action.reason; },
                   [](const auto&) {}},
        statement.action);
    if (rejection) {
        if (transaction_) {
            transaction_->failed = true;
            transaction_->lease.reset();
        }
        return refuse(answer_code::malformed, *rejection);
    }
    return refuse(answer_code::done, "-");
}

void caller_session::record(const operation& op, const statement_answer& answer) {
    const auto now = steady_clock::now();
    const auto age = environment_.control.proof_age(boot_clock::now());
    const char* consistency = op.route == nullptr                                  ? "unknown"
                              : op.route->consistency == read_consistency::current ? "current"
                              : op.route->consistency == read_consistency::bounded ? "bounded"
                                                                                   : "session";
    environment_.metrics.observe_operation(customer_, consistency, answer.code, op.reason,
                                           now - op.started);
    event_line{answer.code == answer_code::done ? "served" : "refused"}
        .field("request", op.statement.id)
        .field("customer", customer_)
        .field("database", database_)
        .field("group", op.route == nullptr ? std::string{"-"} : op.route->group.str())
        .field("instance", op.instance.empty() ? std::string{"-"} : op.instance.str())
        .field("code", to_string(answer.code))
        .field("reason", op.reason)
        .field("tries", op.attempts)
        .field("version", op.configuration ? op.configuration->version : 0)
        .field_ms("proof_age_ms", age.value_or(boot_clock::duration{}))
        .field_ms("took_ms", now - op.started)
        .write();
}

}  // namespace masticgrade
