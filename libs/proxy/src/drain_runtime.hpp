#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "fleet_state.hpp"
#include "masticgrade/failover/drain_controller.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Applies the draining of failure domains and servers, and its end, on this host.
/// Thread safety: all members may be called from any thread; one lock guards the drain controller.
class drain_runtime {
public:
    struct dependencies {
        failure_domain_id own_domain;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<table_service> store;
        /// The groups whose planned switchovers this host starts.
        std::function<std::set<group_id>()> coordinated_groups;
        /// Returns false when the switchover could not be started.
        std::function<bool(const start_switchover&)> begin_switchover;
    };

    explicit drain_runtime(dependencies deps);

    void on_snapshot(const fleet_snapshot& snapshot);
    void on_switchover_ended(const group_id& group);
    [[nodiscard]] bool own_domain_in_service() const;
    void tick(time_point now);

    /// Polls the platform's host list until cancelled.
    boost::asio::awaitable<void> watch_hosts();

private:
    void apply_host_list(const std::vector<platform_host>& hosts);

    dependencies dependencies_;
    mutable std::mutex mutex_;
    drain_controller drain_;
};

}  // namespace masticgrade
