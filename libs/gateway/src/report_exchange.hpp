#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

#include "host_registry.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
#include "masticgrade/peer/peer_network.hpp"
#include "report_relay.hpp"

namespace masticgrade {

/// The properties of this host that its reports contain.
struct reporting_host {
    host_id host;
    incarnation_number incarnation;
    failure_domain_id failure_domain;
    unsigned link_mbps = 0;
};

/// Sends this host's usage reports, receives those of other hosts, and forwards them if this host
/// is a relay. Lives as long as the process. Thread safety: none; one executor.
class report_exchange {
public:
    report_exchange(reporting_host self, usage_limiter& limiter, host_registry& hosts,
                    peer::peer_network& peers, std::function<bool()> accepts_leases);

    /// Sends reports until the process ends.
    boost::asio::awaitable<void> run(boost::asio::any_io_executor executor);
    /// Sends this host's report immediately.
    void send(bool leaving);
    /// Returns the reports that were not received before.
    std::vector<peer::host_report> receive(const host_id& sender,
                                           const peer::usage_reports& message);
    [[nodiscard]] const row_access& rows() const { return relay_.rows(); }
    [[nodiscard]] bool is_relay() const { return relay_.is_relay(); }

private:
    void update_relays();
    void deliver(const std::vector<report_relay::delivery>& messages);

    reporting_host self_;
    usage_limiter& limiter_;
    host_registry& hosts_;
    peer::peer_network& peers_;
    std::function<bool()> accepts_leases_;
    report_relay relay_;
    bool was_relay_ = false;
};

}  // namespace masticgrade
