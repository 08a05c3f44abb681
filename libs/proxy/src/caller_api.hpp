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

/// HTTP handler for callers: parses, authenticates, admits and runs a request, then formats the
/// response.
/// Thread safety: `handle` may be called from any thread; each coroutine must run on a strand.
class caller_api {
public:
    struct dependencies {
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<admission_control> limits;
        std::shared_ptr<statement_service> statements;
        std::shared_ptr<transaction_service> transactions;
        std::shared_ptr<request_metrics> metrics;
    };

    caller_api(dependencies deps, session_codec sessions);

    boost::asio::awaitable<http_response> handle(const http_peer& peer, http_request request);

private:
    /// State of one request while it is processed.
    struct request_state {
        caller_context context;
        customer_id customer;
        session caller_session;
        std::string_view request_class = "invalid";
    };

    boost::asio::awaitable<outcome> dispatch(const http_request& request, request_state& state);
    boost::asio::awaitable<outcome> perform(run_statement operation, const http_request& request,
                                            request_state& state);
    boost::asio::awaitable<outcome> perform(begin_transaction operation,
                                            const http_request& request, request_state& state);
    boost::asio::awaitable<outcome> perform(run_in_transaction operation,
                                            const http_request& request, request_state& state);
    boost::asio::awaitable<outcome> perform(commit_transaction operation,
                                            const http_request& request, request_state& state);
    boost::asio::awaitable<outcome> perform(rollback_transaction operation,
                                            const http_request& request, request_state& state);
    /// Sets the customer, or returns the refusal. `route` is null for requests that belong to an
    /// open transaction.
    std::optional<outcome> authenticate(const route_config* route, request_state& state) const;
    boost::asio::awaitable<std::optional<outcome>> admit(const request_state& state) const;
    std::optional<outcome> open_session(request_state& state) const;
    [[nodiscard]] http_response format(const outcome& answer, const request_state& state) const;

    dependencies dependencies_;
    session_codec sessions_;
};

}  // namespace masticgrade
