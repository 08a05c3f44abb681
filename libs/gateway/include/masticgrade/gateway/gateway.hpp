#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

struct gateway_settings {
    host_id host;
    failure_domain_id failure_domain;
    /// The "ip:port" on which other hosts reach this one.
    endpoint_address peer_address;
    /// Bandwidth of the host's own link; 0 when it is unknown.
    unsigned link_mbps = 0;
    /// Time between the request to stop and the end of the process by force.
    milliseconds stop_grace{6000};
};

/// The services outside that a gateway works with; they outlive it.
struct gateway_services {
    instance_connector& connector;
    const control_decoder& documents;
    promotion_service& promotions;
    table_service& store;
};

/// Serves long-lived sessions of callers on a fleet of identical hosts.
/// Thread safety: none; every call is made on the executor's single thread.
class gateway {
public:
    /// Listens for other hosts at once; throws masticgrade::error when that fails.
    gateway(boost::asio::any_io_executor executor, gateway_settings settings,
            gateway_services services);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    void start();
    /// Serves one caller's connection until its end.
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_connection> link);
    /// Whether the balancer should send callers to this host.
    [[nodiscard]] bool is_ready() const;
    /// Stops without cutting a statement; returns when the process may end.
    boost::asio::awaitable<void> stop();
    /// Counters and histograms in the Prometheus format.
    [[nodiscard]] std::string scrape();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
