#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "backend_group.hpp"
#include "host_registry.hpp"
#include "lease_service.hpp"
#include "masticgrade/gateway/placement.hpp"
#include "masticgrade/limits/usage_limiter.hpp"

namespace masticgrade {

/// Selects the host that owns each instance's connection pool among the hosts that lease
/// connections. Hosts in the instance's failure domain are preferred, so that an operation crosses
/// domains no more often than without a pool owner.
/// Lives as long as the process. Thread safety: none; one executor.
class pool_owner_selector {
public:
    /// `accepts_leases` tells whether this host currently leases connections to others.
    pool_owner_selector(pool_owner_candidate self, const usage_limiter& limiter,
                        const host_registry& hosts, const lease_service& leases,
                        std::function<bool()> accepts_leases);

    instance_pool_owner pool_owner_of(const instance_entry& entry);
    /// Whether this host owns the pool of any instance.
    [[nodiscard]] bool owns_any_pool() const;

private:
    /// Collects the hosts that lease connections now. The instances' owners are selected again only
    /// if these have changed.
    void refresh_candidates(time_point now);
    [[nodiscard]] instance_pool_owner choose(const instance_entry& entry) const;

    pool_owner_candidate self_;
    const usage_limiter& limiter_;
    const host_registry& hosts_;
    const lease_service& leases_;
    std::function<bool()> accepts_leases_;
    std::vector<pool_owner_candidate> candidates_;
    time_point candidates_at_{};
    /// Incremented when the candidates change.
    std::uint64_t generation_ = 0;
    struct cached_owner {
        std::uint64_t generation = 0;
        failure_domain_id failure_domain;
        instance_pool_owner owner;
    };
    std::map<instance_id, cached_owner> owners_;
};

}  // namespace masticgrade
