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
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// A backend connection that broke or stayed silent.
class link_error : public error {
public:
    link_error(const std::string& step, const std::string& peer, const std::string& reason,
               bool may_have_run)
        : error(step, peer, reason), may_have_run_(may_have_run) {}

    /// False only when no byte of the request can have reached the instance.
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

private:
    bool may_have_run_;
};

/// One caller's connection. Thread safety: none; one executor.
class caller_link {
public:
    caller_link() = default;
    caller_link(const caller_link&) = delete;
    caller_link& operator=(const caller_link&) = delete;
    virtual ~caller_link() = default;

    /// Waits for the request that opens the session; nothing when the connection ended first.
    virtual boost::asio::awaitable<std::optional<session_request>> open(time_point deadline) = 0;
    /// Tells the caller that the session is open.
    virtual boost::asio::awaitable<void> accept() = 0;
    /// Refuses the session; the connection is closed.
    virtual boost::asio::awaitable<void> refuse(answer_code code, std::string text) = 0;
    /// Waits for the next statement; nothing when the caller left or the connection was closed.
    virtual boost::asio::awaitable<std::optional<caller_statement>> next() = 0;
    virtual boost::asio::awaitable<void> answer(const statement_answer& answer) = 0;
    virtual void close() = 0;
};

/// One connection to an instance, opened for one customer. Thread safety: none; one executor.
class instance_link {
public:
    instance_link() = default;
    instance_link(const instance_link&) = delete;
    instance_link& operator=(const instance_link&) = delete;
    virtual ~instance_link() = default;

    /// Sends the requests together and waits for their answers, in order.
    /// Throws link_error and closes the connection when it breaks or the deadline passes.
    /// Precondition: `is_open()`, and no other call is in progress.
    virtual boost::asio::awaitable<std::vector<statement_answer>> run(
        std::vector<backend_request> requests, time_point deadline) = 0;
    [[nodiscard]] virtual bool is_open() const = 0;
    virtual void close() = 0;
    /// The log's end as of the answer that opened the connection.
    [[nodiscard]] virtual std::optional<log_index> initial_position() const = 0;
};

using instance_link_ptr = std::shared_ptr<instance_link>;

/// Opens connections to instances. Thread safety: none; one executor.
class instance_connector {
public:
    instance_connector() = default;
    instance_connector(const instance_connector&) = delete;
    instance_connector& operator=(const instance_connector&) = delete;
    virtual ~instance_connector() = default;

    /// Throws link_error, or refusal_error when the instance refuses the connection.
    virtual boost::asio::awaitable<instance_link_ptr> connect(instance_entry instance,
                                                              customer_id customer,
                                                              time_point deadline) = 0;
    /// Whether the instance's host accepts connections at all.
    virtual boost::asio::awaitable<bool> is_reachable(endpoint_address address,
                                                      time_point deadline) = 0;
    /// Reads the answer to `backend_status`, `backend_hold` or `backend_resume`; nothing when it is
    /// not such an answer.
    [[nodiscard]] virtual std::optional<instance_status> read_status(
        const statement_answer& answer) const = 0;
};

/// An instance refused a connection with a code, so that nothing ran.
class refusal_error : public error {
public:
    refusal_error(const std::string& peer, answer_code code)
        : error("open", peer, std::string{to_string(code)}), code_(code) {}
    [[nodiscard]] answer_code code() const noexcept { return code_; }

private:
    answer_code code_;
};

/// Decodes the rows that operators and instances have written. Thread safety: reentrant.
class control_documents {
public:
    control_documents() = default;
    control_documents(const control_documents&) = delete;
    control_documents& operator=(const control_documents&) = delete;
    virtual ~control_documents() = default;

    /// The prefixes of the rows' keys.
    [[nodiscard]] virtual std::string operator_rows() const = 0;
    [[nodiscard]] virtual std::string instance_rows() const = 0;
    /// Throws masticgrade::error.
    [[nodiscard]] virtual control_snapshot decode_control(
        const std::vector<table_row>& rows) const = 0;
    [[nodiscard]] virtual std::vector<instance_entry> decode_instances(
        const std::vector<table_row>& rows) const = 0;
};

enum class promotion_outcome {
    done,
    /// A higher fence has been seen, or the instance is not running.
    refused,
    /// The call may still be carried out.
    unknown,
};

/// Orders an instance to lead its group.
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

}  // namespace masticgrade
