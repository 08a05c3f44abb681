#include "pool_owner_selector.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace masticgrade {

namespace {

/// Hosts from which no report has arrived for longer than this are not selected.
constexpr milliseconds max_report_age{650};
/// How long a selection is cached.
constexpr milliseconds selection_lifetime{100};

}  // namespace

pool_owner_selector::pool_owner_selector(pool_owner_candidate self, const usage_limiter& limiter,
                                         const host_registry& hosts, const lease_service& leases,
                                         std::function<bool()> accepts_leases)
    : self_(std::move(self)),
      limiter_(limiter),
      hosts_(hosts),
      leases_(leases),
      accepts_leases_(std::move(accepts_leases)) {}

instance_pool_owner pool_owner_selector::pool_owner_of(const instance_entry& entry) {
    const auto now = steady_clock::now();
    auto& cached = owners_[entry.id];
    if (now - cached.chosen_at < selection_lifetime && !leases_.is_unusable(cached.owner.host)) {
        return cached.owner;
    }
    cached = {now, choose(entry)};
    return cached.owner;
}

bool pool_owner_selector::owns_any_pool() const {
    return std::any_of(owners_.begin(), owners_.end(),
                       [](const auto& entry) { return entry.second.owner.is_self; });
}

instance_pool_owner pool_owner_selector::choose(const instance_entry& entry) const {
    const auto since = boot_clock::now() - max_report_age;
    std::vector<pool_owner_candidate> candidates;
    if (accepts_leases_()) {
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
