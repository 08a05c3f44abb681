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

/// What a caller asks for, by method and path.
using caller_operation = std::variant<run_statement, begin_transaction, run_in_transaction,
                                      commit_transaction, rollback_transaction>;

/// The headers of a caller's request after their check.
struct caller_context {
    /// The key as presented; it must not be logged or sent on.
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

/// Finds the operation that a method and target name; nothing when there is none.
/// Thread safety: reentrant, as are the other functions here.
std::optional<caller_operation> parse_operation(std::string_view method, std::string_view target);

/// Checks the headers. Throws masticgrade::error that names the header and the accepted range.
caller_context parse_context(const http_headers& headers, time_point now);

/// The refusal of a host that has read no configuration yet, and cannot tell whether a route or a
/// key exists; nothing when it has one.
std::optional<outcome> refuse_without_configuration(fleet_version configuration);

/// Checks the body of a statement. Throws masticgrade::error that names the field.
caller_statement parse_statement(std::string_view body);

}  // namespace masticgrade
