#include "caller_api.hpp"

#include <boost/json.hpp>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/version/key_index.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Callers without a key on routes that are open to all; no customer can have this name, because a
/// configured name is never empty.
const customer_id anonymous{};

/// Told to callers above their rate; shares refill within about this time.
constexpr std::string_view retry_after_seconds = "1";

}  // namespace

caller_api::caller_api(parts collaborators, session_codec sessions)
    : parts_(std::move(collaborators)), sessions_(std::move(sessions)) {}

asio::awaitable<http_response> caller_api::handle(const http_peer&, http_request request) {
    const auto started = steady_clock::now();
    call current;
    outcome answer;
    try {
        answer = co_await dispatch(request, current);
    } catch (const error& failure) {
        answer = refuse(refusal::bad_request, failure.step(), failure.reason(), failure.peer());
    }
    parts_.metrics->observe(current.customer, current.request_class, answer,
                            steady_clock::now() - started);
    co_return format(answer, current);
}

asio::awaitable<outcome> caller_api::dispatch(const http_request& request, call& current) {
    auto operation = parse_operation(request.method, request.target);
    if (!operation) {
        co_return refuse(refusal::not_found, "parse", "there is no such path for this method");
    }
    current.context = parse_context(request.headers, steady_clock::now());
    if (auto refusal = refuse_without_configuration(parts_.fleet->snapshot()->config_version)) {
        co_return std::move(*refusal);
    }
    auto performed = std::visit(
        [&](auto& value) { return perform(std::move(value), request, current); }, *operation);
    co_return co_await std::move(performed);
}

asio::awaitable<outcome> caller_api::perform(run_statement operation, const http_request& request,
                                             call& current) {
    const auto snapshot = parts_.fleet->snapshot();
    const auto route = snapshot->config.routes.find(operation.route);
    if (route == snapshot->config.routes.end()) {
        co_return refuse(refusal::not_found, "route", "there is no such route");
    }
    if (auto refusal = authenticate(&route->second, current)) {
        co_return std::move(*refusal);
    }
    auto body = parse_statement(request.body);
    current.request_class = body.is_write ? "write" : "read";
    if (auto refusal = open_session(current)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = co_await admit(current)) {
        co_return std::move(*refusal);
    }
    statement_request statement;
    statement.customer = current.customer;
    statement.group = route->second.group;
    statement.is_write = body.is_write;
    statement.statement = std::move(body.statement);
    statement.idempotency = current.context.idempotency;
    statement.caller_session = current.caller_session;
    statement.freshness = current.context.freshness;
    statement.deadline = current.context.deadline;
    auto result = co_await parts_.statements->run(std::move(statement));
    current.caller_session = std::move(result.caller_session);
    co_return std::move(result.answer);
}

asio::awaitable<outcome> caller_api::perform(begin_transaction operation, const http_request&,
                                             call& current) {
    current.request_class = "begin";
    const auto snapshot = parts_.fleet->snapshot();
    const auto route = snapshot->config.routes.find(operation.route);
    if (route == snapshot->config.routes.end()) {
        co_return refuse(refusal::not_found, "route", "there is no such route");
    }
    if (auto refusal = authenticate(&route->second, current)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = open_session(current)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = co_await admit(current)) {
        co_return std::move(*refusal);
    }
    co_return co_await parts_.transactions->begin(current.customer, route->second.group,
                                                  current.context.deadline);
}

asio::awaitable<outcome> caller_api::perform(run_in_transaction operation,
                                             const http_request& request, call& current) {
    current.request_class = "in_transaction";
    if (auto refusal = authenticate(nullptr, current)) {
        co_return std::move(*refusal);
    }
    auto body = parse_statement(request.body);
    if (auto refusal = co_await admit(current)) {
        co_return std::move(*refusal);
    }
    co_return co_await parts_.transactions->execute(current.customer, operation.transaction,
                                                    body.is_write, std::move(body.statement),
                                                    current.context.deadline);
}

asio::awaitable<outcome> caller_api::perform(commit_transaction operation, const http_request&,
                                             call& current) {
    current.request_class = "commit";
    if (auto refusal = authenticate(nullptr, current)) {
        co_return std::move(*refusal);
    }
    if (auto refusal = open_session(current)) {
        co_return std::move(*refusal);
    }
    auto result = co_await parts_.transactions->commit(
        current.customer, operation.transaction, current.context.idempotency,
        current.caller_session, current.context.deadline);
    current.caller_session = std::move(result.caller_session);
    co_return std::move(result.answer);
}

asio::awaitable<outcome> caller_api::perform(rollback_transaction operation, const http_request&,
                                             call& current) {
    current.request_class = "rollback";
    if (auto refusal = authenticate(nullptr, current)) {
        co_return std::move(*refusal);
    }
    co_return co_await parts_.transactions->rollback(current.customer, operation.transaction,
                                                     current.context.deadline);
}

asio::awaitable<std::optional<outcome>> caller_api::admit(const call& current) const {
    // Callers without a key have no rate of their own; the fair queues bound what they take.
    if (current.customer == anonymous) {
        co_return std::nullopt;
    }
    co_return co_await parts_.limits->admit(current.customer, current.context.deadline);
}

std::optional<outcome> caller_api::authenticate(const route_config* route, call& current) const {
    const auto snapshot = parts_.fleet->snapshot();
    if (!current.context.key) {
        if (route != nullptr && !route->open) {
            return refuse(refusal::unknown_key, "authenticate", "the route needs a key");
        }
        // A transaction on an open route belongs to the anonymous caller who knows its id.
        current.customer = anonymous;
        return std::nullopt;
    }
    const auto* owner = snapshot->keys->find(digest_key(*current.context.key));
    if (owner == nullptr) {
        return refuse(refusal::unknown_key, "authenticate", "the key is not valid");
    }
    current.customer = owner->customer;
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

std::optional<outcome> caller_api::open_session(call& current) const {
    current.caller_session.customer = current.customer;
    if (!current.context.session_token) {
        return std::nullopt;
    }
    try {
        current.caller_session = sessions_.decode(*current.context.session_token, current.customer);
    } catch (const error& failure) {
        return refuse(refusal::bad_request, failure.step(), failure.reason());
    }
    return std::nullopt;
}

http_response caller_api::format(const outcome& answer, const call& current) const {
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
    if (!current.caller_session.positions.empty()) {
        body["session"] = sessions_.encode(current.caller_session);
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
