#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backend_group.hpp"
#include "control_state.hpp"
#include "gateway_metrics.hpp"
#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
#include "session_commits.hpp"

namespace masticgrade {

/// Name under which instances are told of callers without a key.
inline const customer_id anonymous_customer{"-"};

/// Dependencies that all sessions share. Lives as long as the process.
struct session_environment {
    boost::asio::any_io_executor executor;
    control_state& control;
    usage_limiter& limiter;
    gateway_metrics& metrics;
    std::function<std::shared_ptr<backend_group>(const group_id&)> find_group;
    /// The process ends then; statements are answered before.
    time_point serve_until = time_point::max();
    /// The process ends soon: new sessions and statements for an instance are refused.
    bool refuses_work = false;
    /// Called for each operation of a customer that an instance began to run; absent if usage is
    /// not accounted for.
    std::function<void(const customer_id&, wall_time)> on_operation_run = {};
};

/// A caller's transaction. It holds a connection from its first statement on.
struct open_transaction {
    bool read_only = false;
    bool failed = false;
    bool wrote = false;
    bool admitted = false;
    /// Whether an instance has begun to run one of its statements.
    bool has_run = false;
    /// Whether it runs on the primary, which refuses its statements after losing the primary role.
    bool on_primary = false;
    std::shared_ptr<const gateway_configuration> configuration;
    const database_route* route = nullptr;
    std::optional<connection_lease> lease;
};

/// One caller's session: keeps its values, prepared statements and transaction, and executes its
/// statements. Thread safety: none; one executor.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(std::shared_ptr<caller_connection> link, session_environment& environment);

    /// Serves the session until it ends.
    boost::asio::awaitable<void> run();

    /// Aborts a transaction that exceeds the idle limit. Call several times a second.
    void tick(time_point now);
    /// Closes the session as soon as the caller waits for no answer and no transaction is open. A
    /// caller that has just connected is given time for a request.
    void close_when_idle();
    /// Aborts an open transaction unless a statement is running or has arrived. Takes effect when
    /// the pending read has ended without a statement.
    void abort_transaction(std::string reason);

    /// Answers a statement that still runs as in doubt and closes the connection. For a process
    /// that ends before the statement does.
    boost::asio::awaitable<void> abandon_statement();

private:
    /// The state of one statement during its execution.
    struct operation {
        explicit operation(const caller_statement& asked)
            : statement(asked), started(steady_clock::now()) {}

        const caller_statement& statement;
        std::shared_ptr<const gateway_configuration> configuration;
        const database_route* route = nullptr;
        std::shared_ptr<backend_group> group;
        access_kind access = access_kind::read;
        std::optional<prepared_statement> prepared;
        std::string arguments;
        time_point started;
        time_point deadline;
        time_point queue_deadline;
        std::string reason = "none";
        unsigned attempts = 0;
        instance_id instance;
    };

    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<statement_answer> handle(const caller_statement& statement);
    /// Ends the transaction and the session after the answer, which promises nothing.
    statement_answer on_unexpected_error(const caller_statement& statement,
                                         std::string_view reason);
    /// Sends the answer. Throws connection_error, and logs the statement that got no answer.
    boost::asio::awaitable<void> deliver(const statement_id& statement,
                                         const statement_answer& answer);
    statement_answer handle_locally(const caller_statement& statement);
    boost::asio::awaitable<statement_answer> serve(const caller_statement& statement);
    boost::asio::awaitable<statement_answer> serve_single(operation& op);
    boost::asio::awaitable<statement_answer> serve_in_transaction(operation& op);
    boost::asio::awaitable<statement_answer> serve_commit(operation& op);
    boost::asio::awaitable<statement_answer> single_read(operation& op);
    boost::asio::awaitable<statement_answer> single_write(operation& op);
    /// Starts the transaction on an instance. Returns the refusal, if any.
    boost::asio::awaitable<std::optional<statement_answer>> begin_on_instance(operation& op);
    /// Waits for a connection to the primary, or to any instance whose data is fresh enough.
    boost::asio::awaitable<std::variant<connection_lease, statement_answer>> acquire(
        operation& op, bool on_primary, const std::set<instance_id>& excluded);
    /// The read must see every commit acknowledged before this time.
    [[nodiscard]] boot_time required_moment(const operation& op) const;
    /// The log position that the read must see. Returns nullopt if no recent position of the
    /// primary is known.
    boost::asio::awaitable<std::optional<log_index>> required_position(operation& op);
    /// Applies the session context to the connection and executes the statement. Retries while the
    /// instance is too busy to start it. Throws connection_error.
    boost::asio::awaitable<statement_answer> execute_on(connection_lease& lease, operation& op,
                                                        std::optional<log_index> at_least,
                                                        bool proves_position);
    /// Executes the statement once and counts its operation if the instance began to run it.
    /// Throws connection_error.
    boost::asio::awaitable<statement_answer> execute_counted(connection_lease& lease,
                                                             backend_request request,
                                                             bool may_commit, bool proves_position,
                                                             time_point deadline);
    /// Counts a single statement, or the first of a transaction.
    void count_operation(wall_time began_at);
    /// Precondition: an abort is requested and the transaction is open.
    void perform_requested_abort();
    /// Whether the caller, or this host on its behalf, still has to do something before the session
    /// may be closed.
    [[nodiscard]] bool has_work();
    /// Returns the refusal if the caller may not execute statements on this route now.
    std::optional<statement_answer> check_authorization(const database_route& route,
                                                        std::string& reason);
    std::optional<statement_answer> admit(operation& op);
    std::optional<statement_answer> prepare_operation(operation& op);
    [[nodiscard]] transaction_phase phase() const;
    statement_answer refuse(answer_code code, std::string text) const;
    void record(const operation& op, const statement_answer& answer);

    std::shared_ptr<caller_connection> link_;
    session_environment& environment_;
    std::string database_;
    std::optional<key_digest> key_;
    customer_id customer_;
    session_context context_;
    std::optional<open_transaction> transaction_;
    session_commits commits_;
    bool busy_ = false;
    bool closing_ = false;
    /// The statement that is executed and has not been answered.
    std::optional<statement_id> running_;
    /// Reason for the abort that follows unless a statement has been received.
    std::optional<std::string> requested_abort_;
    time_point idle_since_;
    /// Until then the first request of a caller that has connected is awaited.
    time_point first_request_deadline_;
};

}  // namespace masticgrade
