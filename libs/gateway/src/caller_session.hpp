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

namespace masticgrade {

/// What sessions share. Lives as long as the process.
struct session_environment {
    boost::asio::any_io_executor executor;
    control_state& control;
    usage_limiter& limiter;
    gateway_metrics& metrics;
    std::function<std::shared_ptr<backend_group>(const group_id&)> find_group;
};

/// A caller's transaction; it has a connection from its first statement on.
struct open_transaction {
    bool read_only = false;
    bool failed = false;
    bool wrote = false;
    bool admitted = false;
    /// A plain transaction runs on the primary and is refused once it has lost the lead.
    bool plain = false;
    std::shared_ptr<const gateway_configuration> configuration;
    const database_route* route = nullptr;
    std::optional<connection_lease> lease;
};

/// One caller's session: its values and prepared statements, its transaction, and the service of
/// its statements. Thread safety: none; one executor.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(std::shared_ptr<caller_connection> link, session_environment& environment);

    /// Serves the session until its end.
    boost::asio::awaitable<void> run();

    /// Ends a transaction that has been idle for too long. Call several times a second.
    void tick(time_point now);
    /// Closes the session as soon as it has no statement under way and no open transaction.
    void close_when_idle();
    /// Aborts an open transaction that has no statement under way.
    void abort_transaction(std::string_view reason);
    /// Whether closing the session would cut no statement and no transaction.
    [[nodiscard]] bool is_idle() const { return !busy_ && !transaction_; }

private:
    /// One statement on its way through the session.
    struct operation {
        explicit operation(const caller_statement& asked)
            : statement(asked), started(steady_clock::now()) {}

        const caller_statement& statement;
        std::shared_ptr<const gateway_configuration> configuration;
        const database_route* route = nullptr;
        std::shared_ptr<backend_group> group;
        access_kind access = access_kind::read;
        std::optional<prepared_statement> shape;
        std::string arguments;
        time_point started;
        time_point deadline;
        time_point give_up;
        std::string reason = "none";
        unsigned tries = 0;
        instance_id instance;
    };

    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<statement_answer> handle(const caller_statement& statement);
    statement_answer handle_locally(const caller_statement& statement);
    boost::asio::awaitable<statement_answer> serve(const caller_statement& statement);
    boost::asio::awaitable<statement_answer> serve_single(operation& op);
    boost::asio::awaitable<statement_answer> serve_in_transaction(operation& op);
    boost::asio::awaitable<statement_answer> serve_commit(operation& op);
    boost::asio::awaitable<statement_answer> single_read(operation& op);
    boost::asio::awaitable<statement_answer> single_write(operation& op);
    /// Starts the transaction on an instance; an answer is the refusal.
    boost::asio::awaitable<std::optional<statement_answer>> begin_on_instance(operation& op);
    /// Waits for a connection to the primary, or to any instance that is fresh enough.
    boost::asio::awaitable<std::variant<connection_lease, statement_answer>> acquire(
        operation& op, bool on_primary, const std::set<instance_id>& avoid);
    boost::asio::awaitable<std::optional<log_index>> needed_position(operation& op);
    /// Gives the connection what the statement needs and runs it, again when the instance was only
    /// too busy to start it. Throws connection_error.
    boost::asio::awaitable<statement_answer> run_on(connection_lease& lease, operation& op,
                                                    std::optional<log_index> at_least,
                                                    bool proves_position);
    /// Why the caller's work may not run now, if so.
    std::optional<statement_answer> check_caller(const database_route& route, std::string& reason);
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
    std::optional<log_index> last_commit_;
    bool busy_ = true;
    bool closing_ = false;
    time_point idle_since_;
};

}  // namespace masticgrade
