#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet_state.hpp"
#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/net/http_server.hpp"
#include "request_metrics.hpp"
#include "statement_service.hpp"
#include "transaction_service.hpp"

namespace masticgrade {

/// Answers health checks, scrapes and operators' questions.
/// Thread safety: `handle` may be called from any thread.
class admin_api {
public:
    struct parts {
        host_id host;
        failure_domain_id failure_domain;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<request_metrics> metrics;
        std::shared_ptr<transaction_service> transactions;
        work_permission may_start_work;
        /// Why the balancer should send no callers here; empty when it may.
        std::function<std::optional<std::string>()> not_ready;
        /// The part of rate and burst that this host holds of a customer.
        std::function<share_fraction(const customer_id&)> held_share;
        /// The version that each member is known to have applied.
        std::function<std::map<host_id, fleet_version>()> member_versions;
    };

    explicit admin_api(parts collaborators) : parts_(std::move(collaborators)) {}

    boost::asio::awaitable<http_response> handle(const http_peer& peer, http_request request);
    /// The answer to a health or readiness check; nothing for other targets.
    [[nodiscard]] std::optional<http_response> check_health(const http_request& request) const;

private:
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response metrics() const;

    parts parts_;
};

}  // namespace masticgrade
