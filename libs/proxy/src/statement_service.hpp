#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet_state.hpp"
#include "masticgrade/request/outcome.hpp"
#include "masticgrade/request/retry_budget.hpp"
#include "masticgrade/request/routing.hpp"
#include "masticgrade/request/session_token.hpp"

namespace masticgrade {

/// One statement of an authenticated caller.
struct statement_request {
    customer_id customer;
    group_id group;
    bool is_write = false;
    boost::json::value statement;
    idempotency_key idempotency;
    session caller_session;
    read_freshness freshness = strong_read{};
    time_point deadline;
};

struct statement_result {
    outcome answer;
    /// The session after the statement.
    session caller_session;
};

/// Returns why this host may not start new work now; empty if it may.
using new_work_check = std::function<std::optional<std::string>()>;

/// Runs single statements. Reads run on a sufficiently fresh replica or on the primary. Writes run
/// on the current primary: exactly once with an idempotency key, at most once without one.
/// Thread safety: all members may be called from any thread; each coroutine must run on a strand.
class statement_service {
public:
    struct options {
        failure_domain_id own_domain;
        /// Runs all reads on the primary, as a baseline for benchmarks.
        bool primary_reads_only = false;
    };

    statement_service(std::shared_ptr<fleet_state> fleet, new_work_check new_work_refusal,
                      options settings);

    boost::asio::awaitable<statement_result> run(statement_request request);

private:
    boost::asio::awaitable<outcome> read(const statement_request& request, group_runtime& group);
    boost::asio::awaitable<std::optional<outcome>> try_read(const statement_request& request,
                                                            group_runtime& group,
                                                            bool primary_only);
    std::shared_ptr<fleet_state> fleet_;
    new_work_check new_work_refusal_;
    options options_;
    retry_budget retries_;
};

}  // namespace masticgrade
