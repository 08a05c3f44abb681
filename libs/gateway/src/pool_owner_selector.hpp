#pragma once

#include <functional>
#include <map>

#include "backend_group.hpp"
#include "host_registry.hpp"
#include "lease_service.hpp"
#include "masticgrade/gateway/placement.hpp"
#include "masticgrade/limits/usage_limiter.hpp"

namespace masticgrade {

/// Chooses the home of each instance among the hosts that lend connections, those of the instance's
/// own failure domain first, so that an operation crosses between domains no more often than
/// without a home. Lives as long as the process. Thread safety: none; one executor.
class pool_owner_selector {
public:
    /// `lends` tells whether this host lends connections now.
    pool_owner_selector(pool_owner_candidate self, const usage_limiter& limiter,
                        const host_registry& hosts, const lease_service& leases,
                        std::function<bool()> lends);

    instance_pool_owner pool_owner_of(const instance_entry& entry);
    /// Whether this host is the home of an instance.
    [[nodiscard]] bool lends_connections() const;

private:
    [[nodiscard]] instance_pool_owner choose(const instance_entry& entry) const;

    pool_owner_candidate self_;
    const usage_limiter& limiter_;
    const host_registry& hosts_;
    const lease_service& leases_;
    std::function<bool()> lends_;
    struct known_home {
        time_point chosen_at{};
        instance_pool_owner home;
    };
    std::map<instance_id, known_home> homes_;
};

}  // namespace masticgrade
