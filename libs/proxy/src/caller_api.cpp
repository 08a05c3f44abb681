#include "caller_api.hpp"

#include <boost/json.hpp>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/version/key_index.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Customer id of callers without a key on open routes. It cannot clash with a configured customer,
/// because configured names are never empty.
const customer_id anonymous{};

/// Retry-After value for callers above their rate; rate shares refill within about this time.
constexpr std::string_view retry_after_seconds = "1";

}  // namespace

caller_api::caller_api(dependencies deps, session_codec sessions)
    : dependencies_(std::move(deps)), sessions_(std::move(sessions)) {}

asio::awaitable<http_response> caller_api::handle(const http_peer&, http_request request) {
    const auto started = steady_clock::now();
    request_state state;
    outcome answer;
    try {
        answer = co_await dispatch(request, state);
    } catch (const error& failure) {
        answer = refuse(refusal::bad_request, failure.step(), failure.reason(), failure.peer());
    }
    dependencies_.metrics->observe(state.customer, state.request_class, answer,
                                   steady_clock::now() - started);
    co_return format(answer, state);
}

asio::awaitable<outcome> caller_api::dispatch(const http_request& request, request_state& state) {
    auto operation = parse_operation(request.method, request.target);
    if (!operation) {
        co_return refuse(refusal::not_found, "parse", "there is no such path for this method");
    }
    state.context = parse_context(request.headers, steady_clock::now());
    if (auto refusal =
            refuse_without_configuration(dependencies_.fleet->snapshot()->config_version)) {
        co_return std::move(*refusal);
    }
    auto performed = std::visit(
        [&](auto& value) { return perform(std::move(value), request, state); }, *operation);
    co_return co_await std::move(performed);
}

asio::awaitable<outcome> caller_api::perform(run_statement operation, const http_request& request,
                                             request_state& state) {
    const auto snapshot = dependencies_.fleet->snapshot();
    const auto route = snapshot->config.routes.find(operation.route);
    if (route == snapshot->config.routes.end()) {
        co_return refuse(refusal::not_found, "route", "there is no such route");
    }
    if (auto refusal = authenticate(&route->second, state)) {
        co_return std::move(*refusal);
    }
    auto body = parse_statement(request.body);
    state.request_class = body.is_write ? "write" : "read";
    if (auto refusal = open_session(state)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = co_await admit(state)) {
        co_return std::move(*refusal);
    }
    statement_request statement;
    statement.customer = state.customer;
    statement.group = route->second.group;
    statement.is_write = body.is_write;
    statement.statement = std::move(body.statement);
    statement.idempotency = state.context.idempotency;
    statement.caller_session = state.caller_session;
    statement.freshness = state.context.freshness;
    statement.deadline = state.context.deadline;
    auto result = co_await dependencies_.statements->run(std::move(statement));
    state.caller_session = std::move(result.caller_session);
    co_return std::move(result.answer);
}

asio::awaitable<outcome> caller_api::perform(begin_transaction operation, const http_request&,
                                             request_state& state) {
    state.request_class = "begin";
    const auto snapshot = dependencies_.fleet->snapshot();
    const auto route = snapshot->config.routes.find(operation.route);
    if (route == snapshot->config.routes.end()) {
        co_return refuse(refusal::not_found, "route", "there is no such route");
    }
    if (auto refusal = authenticate(&route->second, state)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = open_session(state)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = co_await admit(state)) {
        co_return std::move(*refusal);
    }
    co_return co_await dependencies_.transactions->begin(state.customer, route->second.group,
                                                         state.context.deadline);
}

asio::awaitable<outcome> caller_api::perform(run_in_transaction operation,
                                             const http_request& request, request_state& state) {
    state.request_class = "in_transaction";
    if (auto refusal = authenticate(nullptr, state)) {
        co_return std::move(*refusal);
    }
    auto body = parse_statement(request.body);
    if (auto refusal = co_await admit(state)) {
        co_return std::move(*refusal);
    }
    co_return co_await dependencies_.transactions->execute(state.customer, operation.transaction,
                                                           body.is_write, std::move(body.statement),
                                                           state.context.deadline);
}

asio::awaitable<outcome> caller_api::perform(commit_transaction operation, const http_request&,
                                             request_state& state) {
    state.request_class = "commit";
    if (auto refusal = authenticate(nullptr, state)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = open_session(state)) {
        co_return std::move(*refusal);
    }
    auto result = co_await dependencies_.transactions->commit(
        state.customer, operation.transaction, state.context.idempotency, state.caller_session,
        state.context.deadline);
    state.caller_session = std::move(result.caller_session);
    co_return std::move(result.answer);
}

asio::awaitable<outcome> caller_api::perform(rollback_transaction operation, const http_request&,
                                             request_state& state) {
    state.request_class = "rollback";
    if (auto refusal = authenticate(nullptr, state)) {
        co_return std::move(*refusal);
    }
    co_return co_await dependencies_.transactions->rollback(state.customer, operation.transaction,
                                                            state.context.deadline);
}

asio::awaitable<std::optional<outcome>> caller_api::admit(const request_state& state) const {
    // Callers without a key have no rate limit; the fair queues bound their share of connections.
    if (state.customer == anonymous) {
        co_return std::nullopt;
    }
    co_return co_await dependencies_.limits->admit(state.customer, state.context.deadline);
}

std::optional<outcome> caller_api::authenticate(const route_config* route,
                                                request_state& state) const {
    const auto snapshot = dependencies_.fleet->snapshot();
    if (!state.context.key) {
        if (route != nullptr && !route->open) {
            return refuse(refusal::unknown_key, "authenticate", "the route needs a key");
        }
        // A transaction on an open route may be used by any anonymous caller that knows its id.
        state.customer = anonymous;
        return std::nullopt;
    }
    const auto* owner = snapshot->keys->find(digest_key(*state.context.key));
    if (owner == nullptr) {
        return refuse(refusal::unknown_key, "authenticate", "the key is not valid");
    }
    state.customer = owner->customer;
    if (route == nullptr || route->open) {
        return std::nullopt;
    }
    const auto customer = snapshot->config.customers.find(owner->customer);
    if (customer == snapshot->config.customers.end() ||
        !customer->second.routes.contains(route->name)) {
        return refuse(refusal::route_not_allowed, "authenticate",
                      "the customer may not use this route");
    }
    return std::nullopt;
}

std::optional<outcome> caller_api::open_session(request_state& state) const {
    state.caller_session.customer = state.customer;
    if (!state.context.session_token) {
        return std::nullopt;
    }
    try {
        state.caller_session = sessions_.decode(*state.context.session_token, state.customer);
    } catch (const error& failure) {
        return refuse(refusal::bad_request, failure.step(), failure.reason());
    }
    return std::nullopt;
}

http_response caller_api::format(const outcome& answer, const request_state& state) const {
    json::object body{{"outcome", to_string(answer.kind)}};
    if (answer.kind == outcome_kind::done) {
        body["result"] = answer.result;
        if (!answer.served_by.empty()) {
            body["served_by"] = {{"instance", answer.served_by.str()},
                                 {"role", answer.served_by_replica ? "replica" : "primary"}};
        }
    } else {
        body["repeat_safe"] = answer.repeat_safe;
        body["step"] = answer.step;
        body["peer"] = answer.peer;
        body["reason"] = answer.reason;
    }
    if (!state.caller_session.positions.empty()) {
        body["session"] = sessions_.encode(state.caller_session);
    }
    http_response response;
    response.status = http_status(answer);
    if (answer.cause == refusal::above_rate) {
        response.headers.add("Retry-After", std::string{retry_after_seconds});
    }
    response.body = json::serialize(body);
    return response;
}

}  // namespace masticgrade
