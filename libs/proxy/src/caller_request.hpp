#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/http_message.hpp"
#include "masticgrade/request/outcome.hpp"
#include "masticgrade/request/routing.hpp"

namespace masticgrade {

struct run_statement {
    route_id route;
};
struct begin_transaction {
    route_id route;
};
struct run_in_transaction {
    transaction_id transaction;
};
struct commit_transaction {
    transaction_id transaction;
};
struct rollback_transaction {
    transaction_id transaction;
};

/// The operation that a request's method and path select.
using caller_operation = std::variant<run_statement, begin_transaction, run_in_transaction,
                                      commit_transaction, rollback_transaction>;

/// The validated headers of a caller's request.
struct caller_context {
    /// The API key as received; it must not be logged or forwarded.
    std::optional<std::string> key;
    idempotency_key idempotency;
    std::optional<std::string> session_token;
    read_freshness freshness = strong_read{};
    time_point deadline;
};

struct caller_statement {
    bool is_write = false;
    boost::json::value statement;
};

/// Returns the operation for a method and request target, or nothing if there is none.
/// Thread safety: reentrant, as are the other functions here.
std::optional<caller_operation> parse_operation(std::string_view method, std::string_view target);

/// Validates the headers. Throws masticgrade::error, naming the header and the accepted range.
caller_context parse_context(const http_headers& headers, time_point now);

/// Returns a refusal if this host has not read a configuration yet, because it cannot tell whether
/// a route or a key exists. Returns nothing once a configuration is in force.
std::optional<outcome> refuse_without_configuration(fleet_version configuration);

/// Validates the body of a statement request. Throws masticgrade::error, naming the field.
caller_statement parse_statement(std::string_view body);

}  // namespace masticgrade
