#include "masticgrade/net/database_client.hpp"

#include <boost/json.hpp>
#include <string_view>
#include <utility>

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string_view target_for(database_call call) {
    switch (call) {
        case database_call::execute_read:
        case database_call::execute_write:
            return "/v1/execute";
        case database_call::begin:
            return "/v1/begin";
        case database_call::commit:
            return "/v1/commit";
        case database_call::rollback:
            return "/v1/rollback";
        case database_call::cancel:
            return "/v1/cancel";
        case database_call::confirm:
            return "/v1/confirm";
        case database_call::state:
            return "/v1/state";
        case database_call::seal:
            return "/v1/seal";
        case database_call::promote:
            return "/v1/promote";
        case database_call::follow:
            return "/v1/follow";
    }
    return "/";
}

void add_execute_fields(json::object& body, database_request& request) {
    const bool is_read = request.call == database_call::execute_read;
    body["kind"] = is_read ? "read" : "write";
    body["statement"] = std::move(request.statement);
    if (is_read && request.position != log_position{}) {
        body["min_position"] = request.position.value();
        body["wait_ms"] = request.wait.count();
    }
}

std::string encode(database_request request, request_number number) {
    json::object body{{"request_id", number.value()}, {"term", request.term.value()}};
    if (!request.customer.empty()) {
        body["customer"] = request.customer.str();
    }
    if (!request.idempotency.empty()) {
        body["idempotency_key"] = request.idempotency.str();
    }
    switch (request.call) {
        case database_call::execute_read:
        case database_call::execute_write:
            add_execute_fields(body, request);
            break;
        case database_call::confirm:
            body["position"] = request.position.value();
            body["wait_ms"] = request.wait.count();
            break;
        case database_call::follow:
            body["primary"] = request.primary.str();
            break;
        default:
            break;
    }
    return json::serialize(body);
}

database_status parse_status(std::string_view text) {
    constexpr std::pair<std::string_view, database_status> names[] = {
        {"ok", database_status::ok},
        {"pending", database_status::pending},
        {"found", database_status::found},
        {"cancelled", database_status::cancelled},
        {"stale_term", database_status::stale_term},
        {"not_primary", database_status::not_primary},
        {"lagging", database_status::lagging},
        {"too_many_connections", database_status::too_many_connections},
        {"error", database_status::error},
    };
    for (const auto& [name, status] : names) {
        if (text == name) {
            return status;
        }
    }
    throw std::runtime_error("unknown status");
}

std::uint64_t number_or_zero(const json::object& body, std::string_view field) {
    const auto* value = body.if_contains(field);
    return value == nullptr || value->is_null() ? 0 : value->to_number<std::uint64_t>();
}

std::optional<instance_role> parse_role(const json::object& body) {
    const auto* value = body.if_contains("role");
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto& text = value->as_string();
    if (text == "primary") {
        return instance_role::primary;
    }
    return text == "sealed" ? instance_role::sealed : instance_role::replica;
}

database_reply decode(const json::object& body) {
    database_reply reply;
    reply.status = parse_status(body.at("status").as_string());
    reply.term = term_number{number_or_zero(body, "term")};
    reply.last_term = term_number{number_or_zero(body, "last_term")};
    reply.received_position = log_position{number_or_zero(body, "received_position")};
    reply.applied_position = log_position{number_or_zero(body, "applied_position")};
    reply.position = log_position{number_or_zero(body, "position")};
    reply.start_position = log_position{number_or_zero(body, "start_position")};
    reply.role = parse_role(body);
    if (const auto* staleness = body.if_contains("staleness_ms")) {
        reply.staleness = milliseconds{staleness->to_number<std::int64_t>()};
    }
    if (const auto* replayed = body.if_contains("replayed")) {
        reply.replayed = replayed->as_bool();
    }
    if (const auto* result = body.if_contains("result")) {
        reply.result = *result;
    }
    if (const auto* reason = body.if_contains("reason")) {
        reply.reason = std::string{reason->as_string()};
    }
    return reply;
}

}  // namespace

database_connection::database_connection(const asio::any_io_executor& executor,
                                         endpoint_address instance)
    : connection_(executor, std::move(instance)) {}

asio::awaitable<void> database_connection::connect(time_point deadline) {
    co_await connection_.connect(deadline);
}

asio::awaitable<database_reply> database_connection::call(database_request request,
                                                          time_point deadline) {
    last_request_ = last_request_.next();
    http_request message;
    message.method = "POST";
    message.target = std::string{target_for(request.call)};
    message.body = encode(std::move(request), last_request_);
    const auto response = co_await connection_.send(std::move(message), deadline);
    std::string failure;
    try {
        const auto body = json::parse(response.body).as_object();
        auto reply = decode(body);
        const bool connection_refused = reply.status == database_status::too_many_connections;
        if (connection_refused || number_or_zero(body, "request_id") == last_request_.value()) {
            co_return reply;
        }
        failure = "the answer belongs to another request";
    } catch (const std::exception& invalid) {
        failure = invalid.what();
    }
    connection_.close();
    throw request_error("answer", peer().str(), failure, true);
}

}  // namespace masticgrade
