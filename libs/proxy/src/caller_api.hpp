#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "admission_control.hpp"
#include "caller_request.hpp"
#include "fleet_state.hpp"
#include "masticgrade/net/http_server.hpp"
#include "masticgrade/request/session_token.hpp"
#include "request_metrics.hpp"
#include "statement_service.hpp"
#include "transaction_service.hpp"

namespace masticgrade {

/// Answers callers: parses, authenticates, admits, runs, and formats the answer.
/// Thread safety: `handle` may be called from any thread; each coroutine must run on a strand.
class caller_api {
public:
    struct parts {
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<admission_control> limits;
        std::shared_ptr<statement_service> statements;
        std::shared_ptr<transaction_service> transactions;
        std::shared_ptr<request_metrics> metrics;
    };

    caller_api(parts collaborators, session_codec sessions);

    boost::asio::awaitable<http_response> handle(const http_peer& peer, http_request request);

private:
    /// One request on its way through the steps.
    struct call {
        caller_context context;
        customer_id customer;
        session caller_session;
        std::string_view request_class = "invalid";
    };

    boost::asio::awaitable<outcome> dispatch(const http_request& request, call& current);
    boost::asio::awaitable<outcome> perform(run_statement operation, const http_request& request,
                                            call& current);
    boost::asio::awaitable<outcome> perform(begin_transaction operation,
                                            const http_request& request, call& current);
    boost::asio::awaitable<outcome> perform(run_in_transaction operation,
                                            const http_request& request, call& current);
    boost::asio::awaitable<outcome> perform(commit_transaction operation,
                                            const http_request& request, call& current);
    boost::asio::awaitable<outcome> perform(rollback_transaction operation,
                                            const http_request& request, call& current);
    /// Sets the customer, or returns the refusal. `route` is null for transactions in progress.
    std::optional<outcome> authenticate(const route_config* route, call& current) const;
    boost::asio::awaitable<std::optional<outcome>> admit(const call& current) const;
    std::optional<outcome> open_session(call& current) const;
    [[nodiscard]] http_response format(const outcome& answer, const call& current) const;

    parts parts_;
    session_codec sessions_;
};

}  // namespace masticgrade
