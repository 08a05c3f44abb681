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

/// HTTP handler for health checks, metrics scrapes and the admin status page.
/// Thread safety: `handle` may be called from any thread.
class admin_api {
public:
    struct dependencies {
        host_id host;
        failure_domain_id failure_domain;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<request_metrics> metrics;
        std::shared_ptr<transaction_service> transactions;
        new_work_check new_work_refusal;
        /// Why the load balancer must not send requests to this host; empty when it may.
        std::function<std::optional<std::string>()> not_ready_reason;
        /// The fraction of the customer's rate and burst assigned to this host.
        std::function<share_fraction(const customer_id&)> held_share;
        /// The last version known to be applied by each member.
        std::function<std::map<host_id, fleet_version>()> member_versions;
    };

    explicit admin_api(dependencies deps) : dependencies_(std::move(deps)) {}

    boost::asio::awaitable<http_response> handle(const http_peer& peer, http_request request);
    /// Returns the response to a health or readiness check, or nothing for other targets.
    [[nodiscard]] std::optional<http_response> check_health(const http_request& request) const;

private:
    [[nodiscard]] http_response status() const;
    [[nodiscard]] http_response metrics() const;

    dependencies dependencies_;
};

}  // namespace masticgrade
