#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/statement.hpp"
#include "masticgrade/gateway/topology.hpp"
#include "masticgrade/usage/usage_reporter.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// A backend connection failed or its deadline passed.
class connection_error : public error {
public:
    connection_error(const std::string& step, const std::string& peer, const std::string& reason,
                     bool may_have_run)
        : error(step, peer, reason), may_have_run_(may_have_run) {}

    /// False only if no byte of the request can have reached the instance.
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

private:
    bool may_have_run_;
};

/// A statement was not sent because the operators' limit of an instance in warm-up was reached.
class warmup_limit_error : public connection_error {
public:
    explicit warmup_limit_error(const std::string& instance)
        : connection_error("send", instance, "its warm-up limit is reached", false) {}
};

/// The answers on a connection could not be matched with the requests, since the instance sent one
/// of them again. The instance is alive, and the connection is closed.
class answer_mismatch_error : public connection_error {
public:
    answer_mismatch_error(const std::string& peer, const std::string& reason, bool may_have_run)
        : connection_error("answer", peer, reason, may_have_run) {}
};

/// The connection of one caller. Thread safety: none; one executor.
class caller_connection {
public:
    caller_connection() = default;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    virtual ~caller_connection() = default;

    /// Waits for the request that opens the session. Returns nullopt if the connection ends first.
    virtual boost::asio::awaitable<std::optional<session_request>> open(time_point deadline) = 0;
    /// Tells the caller that the session is open.
    virtual boost::asio::awaitable<void> accept() = 0;
    /// Refuses the session and closes the connection.
    virtual boost::asio::awaitable<void> refuse(answer_code code, std::string text) = 0;
    /// Waits for the next statement. Returns nullopt if the caller disconnected or the connection
    /// was closed.
    virtual boost::asio::awaitable<std::optional<caller_statement>> next() = 0;
    virtual boost::asio::awaitable<void> answer(const statement_answer& answer) = 0;
    /// Whether bytes of a request have arrived that neither `open` nor `next` has returned. Does
    /// not count what a pending call has just received.
    [[nodiscard]] virtual bool has_pending_input() = 0;
    /// Ends the wait of a pending `open` or `next`: it returns nullopt, or the request if bytes of
    /// it have arrived. The connection stays open, so that the request can be answered.
    virtual void stop_waiting() = 0;
    /// Precondition: no call is pending, since its result could no longer be answered.
    virtual void close() = 0;
};

/// A connection to an instance, opened for one customer. Thread safety: none; one executor.
class instance_connection {
public:
    instance_connection() = default;
    instance_connection(const instance_connection&) = delete;
    instance_connection& operator=(const instance_connection&) = delete;
    virtual ~instance_connection() = default;

    /// Pipelines the requests and returns their answers in order.
    /// Throws connection_error and closes the connection when it breaks or the deadline passes, and
    /// answer_mismatch_error when an answer cannot be matched with its request.
    /// Precondition: `is_open()`, and no other call is in progress.
    virtual boost::asio::awaitable<std::vector<statement_answer>> run(
        std::vector<backend_request> requests, time_point deadline) = 0;
    [[nodiscard]] virtual bool is_open() const = 0;
    /// Whether the answers to another operation's requests could be told from repeated ones. If
    /// not, the connection must be closed at the end of the operation.
    [[nodiscard]] virtual bool is_reusable() const = 0;
    virtual void close() = 0;
    /// The end of the instance's log when it accepted the connection.
    [[nodiscard]] virtual std::optional<log_index> initial_position() const = 0;
};

using instance_connection_ptr = std::shared_ptr<instance_connection>;

/// Opens connections to instances. Thread safety: none; one executor.
class instance_connector {
public:
    instance_connector() = default;
    instance_connector(const instance_connector&) = delete;
    instance_connector& operator=(const instance_connector&) = delete;
    virtual ~instance_connector() = default;

    /// An instance with another id refuses the connection, unless `instance` has an empty one.
    /// Throws connection_error, or connection_refused_error when the instance refuses the
    /// connection.
    virtual boost::asio::awaitable<instance_connection_ptr> connect(instance_entry instance,
                                                                    customer_id customer,
                                                                    time_point deadline) = 0;
    /// Whether the instance's address accepts TCP connections.
    virtual boost::asio::awaitable<bool> is_reachable(endpoint_address address,
                                                      time_point deadline) = 0;
    /// Parses the answer to `backend_status`, `backend_hold` or `backend_resume`. Returns nullopt
    /// if the answer has another format.
    [[nodiscard]] virtual std::optional<instance_status> read_status(
        const statement_answer& answer) const = 0;
};

/// An instance refused a connection with an answer code. Nothing was executed.
class connection_refused_error : public error {
public:
    connection_refused_error(const std::string& peer, answer_code code)
        : error("open", peer, std::string{to_string(code)}), code_(code) {}
    [[nodiscard]] answer_code code() const noexcept { return code_; }

private:
    answer_code code_;
};

/// Decodes the rows that operators and instances write to the store. Thread safety: all members may
/// be called from any thread.
class control_decoder {
public:
    control_decoder() = default;
    control_decoder(const control_decoder&) = delete;
    control_decoder& operator=(const control_decoder&) = delete;
    virtual ~control_decoder() = default;

    /// Key prefix of the operators' rows.
    [[nodiscard]] virtual std::string operator_row_prefix() const = 0;
    /// Key prefix of the rows that instances publish.
    [[nodiscard]] virtual std::string instance_row_prefix() const = 0;
    /// Throws masticgrade::error.
    [[nodiscard]] virtual control_snapshot decode_control(
        const std::vector<table_row>& rows) const = 0;
    [[nodiscard]] virtual std::vector<instance_entry> decode_instances(
        const std::vector<table_row>& rows) const = 0;
};

enum class promotion_outcome {
    done,
    /// A higher fencing token is known, or the instance is not running.
    refused,
    /// The promotion may still take place.
    unknown,
};

/// Promotes an instance to primary of its group.
class promotion_service {
public:
    promotion_service() = default;
    promotion_service(const promotion_service&) = delete;
    promotion_service& operator=(const promotion_service&) = delete;
    virtual ~promotion_service() = default;

    virtual boost::asio::awaitable<promotion_outcome> promote(group_id group, instance_id target,
                                                              std::uint64_t fence,
                                                              time_point deadline) = 0;
};

/// Receives the fleet's usage reports.
class usage_report_service {
public:
    usage_report_service() = default;
    usage_report_service(const usage_report_service&) = delete;
    usage_report_service& operator=(const usage_report_service&) = delete;
    virtual ~usage_report_service() = default;

    virtual boost::asio::awaitable<report_outcome> send(window_usage report, std::uint64_t fence,
                                                        time_point deadline) = 0;
};

}  // namespace masticgrade
