#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/http_client.hpp"
#include "masticgrade/version/instance_role.hpp"

namespace masticgrade {

enum class database_call {
    execute_read,
    execute_write,
    begin,
    commit,
    rollback,
    cancel,
    confirm,
    state,
    seal,
    promote,
    follow
};

enum class database_status {
    ok,
    pending,
    found,
    cancelled,
    stale_term,
    not_primary,
    lagging,
    too_many_connections,
    error
};

/// A request to a database instance. It carries the customer's name but never the caller's API key.
struct database_request {
    database_call call = database_call::state;
    term_number term;
    boost::json::value statement;
    customer_id customer;
    idempotency_key idempotency;
    /// For a read, the position that must be applied; for a confirmation, the position that must be
    /// received.
    log_position position;
    milliseconds wait{0};
    endpoint_address primary;
};

struct database_reply {
    database_status status = database_status::error;
    term_number term;
    term_number last_term;
    log_position received_position;
    log_position applied_position;
    /// Position of the log entry that a write, commit or cancellation appended or found.
    log_position position;
    log_position start_position;
    std::optional<instance_role> role;
    std::optional<milliseconds> staleness;
    bool replayed = false;
    boost::json::value result;
    std::string reason;
};

/// A connection to a database instance.
/// Thread safety: same as http_connection.
class database_connection {
public:
    database_connection(const boost::asio::any_io_executor& executor, endpoint_address instance);

    boost::asio::awaitable<void> connect(time_point deadline);
    /// Sends a request and checks that the response belongs to it. Throws request_error on failure.
    /// Precondition: connected, and no other call in progress.
    boost::asio::awaitable<database_reply> call(database_request request, time_point deadline);
    [[nodiscard]] bool is_open() const noexcept { return connection_.is_open(); }
    void close() { connection_.close(); }
    [[nodiscard]] const endpoint_address& peer() const noexcept { return connection_.peer(); }

private:
    http_connection connection_;
    request_number last_request_;
};

}  // namespace masticgrade
