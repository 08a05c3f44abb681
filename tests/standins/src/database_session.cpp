#include "database_session.hpp"

#include <algorithm>
#include <array>

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::uint64_t number(const json::object& request, const char* name) {
    const auto* field = request.if_contains(name);
    return field == nullptr ? 0 : field->to_number<std::uint64_t>();
}

std::string text(const json::object& request, const char* name) {
    const auto* field = request.if_contains(name);
    return field == nullptr || field->is_null() ? std::string{} : std::string(field->as_string());
}

time_point wait_deadline(const json::object& request) {
    constexpr std::uint64_t longest_wait_ms = 60000;
    return steady_clock::now() +
           milliseconds{std::min(number(request, "wait_ms"), longest_wait_ms)};
}

asio::awaitable<void> spend(const json::value& statement) {
    if (const auto cost = statement_cost_ms(statement); cost > 0) {
        co_await sleep_for(milliseconds{cost});
    }
}

constexpr std::array statement_targets{"/v1/execute", "/v1/begin", "/v1/commit", "/v1/rollback"};
constexpr std::array failover_targets{"/v1/seal", "/v1/promote", "/v1/follow"};

}  // namespace

database_server::session::~session() {
    if (counted_) {
        --server_.connections_;
    }
}

bool database_server::session::count_connection() {
    if (!counted_ && server_.connections_ < server_.settings_.max_connections) {
        counted_ = true;
        ++server_.connections_;
        server_.peak_connections_ = std::max(server_.peak_connections_, server_.connections_);
    }
    return counted_;
}

asio::awaitable<http_response> database_server::session::handle(http_request request) {
    if (request.target == "/v1/replicate") {
        co_return co_await server_.answer_replica(request.body);
    }
    try {
        const auto body = json::parse(request.body).as_object();
        if (std::ranges::find(statement_targets, request.target) != statement_targets.end() &&
            !count_connection()) {
            auto refusal = answer(body, {"too_many_connections", {}});
            refusal.status = 503;
            refusal.close_afterwards = true;
            co_return refusal;
        }
        const auto outcome = co_await dispatch(request.target, body);
        auto response = answer(body, outcome);
        response.lost = loses_answer(request.target, body, outcome);
        co_return response;
    } catch (const std::exception& failure) {
        co_return json_response(json::object{{"status", "error"}, {"reason", failure.what()}}, 400);
    }
}

http_response database_server::session::answer(const fields& request, reply outcome) const {
    auto& body = outcome.fields;
    const auto* id = request.if_contains("request_id");
    body["request_id"] = id == nullptr ? json::value{} : *id;
    body["status"] = outcome.status;
    body["term"] = server_.instance_.term();
    body["last_term"] = server_.instance_.last_term();
    body["received_position"] = server_.instance_.received_position();
    body["applied_position"] = server_.instance_.applied_position();
    return json_response(body);
}

bool database_server::session::loses_answer(const std::string& target, const fields& request,
                                            const reply& outcome) {
    auto& faults = server_.faults_;
    if (std::ranges::find(failover_targets, target) != failover_targets.end()) {
        return outcome.status == "ok" && consume(faults.lose_failover_answers);
    }
    const bool changed_rows =
        outcome.status == "ok" &&
        (target == "/v1/commit" ||
         (target == "/v1/execute" && !transaction_ && text(request, "kind") == "write"));
    const bool resolved_key = target == "/v1/cancel" && outcome.status != "error";
    return (changed_rows || resolved_key) && consume(faults.lose_answers);
}

asio::awaitable<reply> database_server::session::dispatch(const std::string& target,
                                                          const fields& request) {
    auto& instance = server_.instance_;
    if (target == "/v1/state") {
        co_return reply{"ok", server_.state()};
    }
    const auto term = number(request, "term");
    if (target == "/v1/execute") {
        co_return co_await execute(request);
    }
    if (target == "/v1/confirm") {
        co_return co_await confirm(request);
    }
    if (target == "/v1/begin") {
        co_return instance.begin(term, transaction_);
    }
    if (target == "/v1/commit") {
        co_return commit(request);
    }
    if (target == "/v1/rollback") {
        co_return rollback();
    }
    if (target == "/v1/cancel") {
        auto outcome =
            instance.cancel(term, text(request, "customer"), text(request, "idempotency_key"));
        server_.changed_.notify_all();
        co_return outcome;
    }
    co_return failover(target, request);
}

reply database_server::session::failover(const std::string& target, const fields& request) {
    auto& instance = server_.instance_;
    const auto term = number(request, "term");
    reply outcome{"error", {{"reason", "unknown path"}}};
    if (target == "/v1/seal") {
        outcome = instance.seal(term);
    } else if (target == "/v1/promote") {
        outcome = instance.promote(term);
    } else if (target == "/v1/follow") {
        const auto primary = text(request, "primary");
        parse_endpoint(primary);
        outcome = instance.follow(term, primary);
    }
    server_.changed_.notify_all();
    return outcome;
}

asio::awaitable<reply> database_server::session::execute(const fields& request) {
    auto& instance = server_.instance_;
    ++server_.statements_;
    const auto kind = text(request, "kind");
    if (kind != "read" && kind != "write") {
        throw std::invalid_argument("kind is neither read nor write");
    }
    const auto term = number(request, "term");
    const auto customer = text(request, "customer");
    const auto& statement = request.at("statement");
    if (!transaction_ && kind == "read") {
        co_return co_await read(request);
    }
    const auto slot = co_await server_.slots_.acquire();
    co_await spend(statement);
    if (transaction_) {
        co_return instance.execute_in_transaction(term, *transaction_, customer, statement);
    }
    auto outcome = instance.write(term, customer, text(request, "idempotency_key"), statement);
    server_.changed_.notify_all();
    co_return outcome;
}

asio::awaitable<reply> database_server::session::read(const fields& request) {
    const auto& instance = server_.instance_;
    const auto term = number(request, "term");
    const auto min_position = number(request, "min_position");
    const auto customer = text(request, "customer");
    const auto& statement = request.at("statement");
    const auto deadline = wait_deadline(request);
    // The wait comes before the slot, so that a lagging replica does not block its slots.
    auto outcome = instance.read(term, min_position, statement, customer);
    while (outcome.status == "lagging" && steady_clock::now() < deadline) {
        co_await server_.changed_.wait_until(deadline);
        outcome = instance.read(term, min_position, statement, customer);
    }
    if (outcome.status != "ok") {
        co_return outcome;
    }
    const auto slot = co_await server_.slots_.acquire();
    co_await spend(statement);
    co_return instance.read(term, min_position, statement, customer);
}

asio::awaitable<reply> database_server::session::confirm(const fields& request) {
    const auto& instance = server_.instance_;
    const auto term = number(request, "term");
    const auto position = number(request, "position");
    const auto deadline = wait_deadline(request);
    auto outcome = instance.confirm(term, position);
    while (outcome.status == "pending" && steady_clock::now() < deadline) {
        co_await server_.changed_.wait_until(deadline);
        outcome = instance.confirm(term, position);
    }
    co_return outcome;
}

reply database_server::session::commit(const fields& request) {
    auto outcome =
        server_.instance_.commit(number(request, "term"), transaction_, text(request, "customer"),
                                 text(request, "idempotency_key"));
    server_.changed_.notify_all();
    return outcome;
}

reply database_server::session::rollback() {
    transaction_.reset();
    return {"ok", {}};
}

}  // namespace masticgrade::standins
