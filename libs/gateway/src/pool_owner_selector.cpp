#include "pool_owner_selector.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace masticgrade {

namespace {

/// A host that has been silent for longer is not asked for connections.
constexpr milliseconds home_silence_limit{650};
/// How long the choice of an instance's home is kept.
constexpr milliseconds home_lifetime{100};

}  // namespace

pool_owner_selector::pool_owner_selector(pool_owner_candidate self, const usage_limiter& limiter,
                                         const host_registry& hosts, const lease_service& leases,
                                         std::function<bool()> lends)
    : self_(std::move(self)),
      limiter_(limiter),
      hosts_(hosts),
      leases_(leases),
      lends_(std::move(lends)) {}

instance_pool_owner pool_owner_selector::pool_owner_of(const instance_entry& entry) {
    const auto now = steady_clock::now();
    auto& known = homes_[entry.id];
    if (now - known.chosen_at < home_lifetime && !leases_.is_unusable(known.home.host)) {
        return known.home;
    }
    known = {now, choose(entry)};
    return known.home;
}

bool pool_owner_selector::lends_connections() const {
    return std::any_of(homes_.begin(), homes_.end(),
                       [](const auto& entry) { return entry.second.home.is_self; });
}

instance_pool_owner pool_owner_selector::choose(const instance_entry& entry) const {
    const auto since = boot_clock::now() - home_silence_limit;
    std::vector<pool_owner_candidate> candidates;
    if (lends_()) {
        candidates.push_back(self_);
    }
    for (const auto& [id, host] : hosts_.others()) {
        if (limiter_.accepts_leases(id, since) && !leases_.is_unusable(id)) {
            candidates.push_back({id, host.failure_domain});
        }
    }
    const auto chosen = choose_pool_owner(entry.id, entry.failure_domain, candidates);
    if (!chosen) {
        return {};
    }
    const bool is_self = *chosen == self_.host;
    return {is_self, is_self ? host_id{} : *chosen};
}

}  // namespace masticgrade
