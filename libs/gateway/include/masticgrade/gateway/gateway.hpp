#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

struct gateway_settings {
    host_id host;
    failure_domain_id failure_domain;
    /// The "ip:port" at which other hosts reach this one.
    endpoint_address peer_address;
    /// Bandwidth of the host's network link; 0 if unknown.
    unsigned link_mbps = 0;
    /// Time from the stop request until the process is killed.
    milliseconds stop_grace{6000};
    /// Usage is accounted for and reported if set.
    std::optional<usage_settings> usage = {};
    /// Limits the concurrent statements on instances that have started, recovered or been promoted
    /// to a pace measured from their answers. The warm-up rate in a group's settings applies in any
    /// case.
    bool paces_instances = false;
    /// The directory lists no instance for longer than this after it has ended.
    milliseconds entry_lifetime{4000};
};

/// External services that the gateway uses. They must outlive it.
struct gateway_services {
    instance_connector& connector;
    const control_decoder& documents;
    promotion_service& promotions;
    table_service& store;
    /// Required if the settings ask for usage reports.
    usage_report_service* usage_reports = nullptr;
};

/// Serves long-lived caller sessions on a fleet of identical hosts.
/// Thread safety: none; all calls must be made on the executor's single thread.
class gateway {
public:
    /// Starts listening for other hosts. Throws masticgrade::error on failure.
    gateway(boost::asio::any_io_executor executor, gateway_settings settings,
            gateway_services services);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    void start();
    /// Serves one caller's connection until it ends.
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_connection> link);
    /// Whether the load balancer should route callers to this host.
    [[nodiscard]] bool is_ready() const;
    /// Shuts down without interrupting running statements. Returns when the process may exit.
    /// Calls `close_listener` once, when no more callers can be served: it has to pass the
    /// connections that wait to be accepted to `serve`, which refuses them, and accept no others.
    boost::asio::awaitable<void> stop(std::function<void()> close_listener);
    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string scrape();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
