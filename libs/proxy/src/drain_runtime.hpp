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

/// Applies drains and returns of failure domains and servers on this host.
/// Thread safety: all members may be called from any thread; one lock guards the decision module.
class drain_runtime {
public:
    struct environment {
        failure_domain_id own_domain;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<table_service> store;
        /// The groups whose planned switches this host starts.
        std::function<std::set<group_id>()> coordinated_groups;
        /// Returns false when no switch could be started.
        std::function<bool(const start_switchover&)> begin_switch;
    };

    explicit drain_runtime(environment surroundings);

    void on_snapshot(const fleet_snapshot& snapshot);
    void on_switchover_ended(const group_id& group);
    [[nodiscard]] bool own_domain_in_service() const;
    void tick(time_point now);

    /// Reads the platform's list of hosts at intervals until cancelled.
    boost::asio::awaitable<void> watch_hosts();

private:
    void take_hosts(const std::vector<platform_host>& hosts);

    environment environment_;
    mutable std::mutex mutex_;
    drain_controller drain_;
};

}  // namespace masticgrade
