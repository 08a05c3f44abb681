#include "pool_owner_selector.hpp"

#include <algorithm>
#include <utility>

#include "report_relay.hpp"

namespace masticgrade {

namespace {

/// Hosts from which no report has arrived for longer than this are not selected.
constexpr milliseconds max_report_age{650};
/// The same in a large fleet, where hosts report less often.
constexpr milliseconds large_fleet_max_report_age{850};
/// Interval at which the hosts that lease connections are collected.
constexpr milliseconds candidates_lifetime{100};

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
    if (now - candidates_at_ >= candidates_lifetime ||
        (cached.generation == generation_ && leases_.is_unusable(cached.owner.host))) {
        refresh_candidates(now);
    }
    if (cached.generation != generation_ || cached.failure_domain != entry.failure_domain) {
        cached = {generation_, entry.failure_domain, choose(entry)};
    }
    return cached.owner;
}

bool pool_owner_selector::owns_any_pool() const {
    return std::any_of(owners_.begin(), owners_.end(),
                       [](const auto& entry) { return entry.second.owner.is_self; });
}

void pool_owner_selector::refresh_candidates(time_point now) {
    const auto since = boot_clock::now() - (hosts_.others().size() >= report_relay::large_fleet
                                                ? large_fleet_max_report_age
                                                : max_report_age);
    std::vector<pool_owner_candidate> candidates;
    if (accepts_leases_()) {
        candidates.push_back(self_);
    }
    for (const auto& [id, host] : hosts_.others()) {
        if (limiter_.accepts_leases(id, since) && !leases_.is_unusable(id)) {
            candidates.push_back({id, host.failure_domain, host.link_mbps});
        }
    }
    candidates_at_ = now;
    if (candidates != candidates_ || generation_ == 0) {
        candidates_ = std::move(candidates);
        ++generation_;
    }
}

instance_pool_owner pool_owner_selector::choose(const instance_entry& entry) const {
    const auto chosen = choose_pool_owner(entry.id, entry.failure_domain, candidates_);
    if (!chosen) {
        return {};
    }
    const bool is_self = *chosen == self_.host;
    return {is_self, is_self ? host_id{} : *chosen};
}

}  // namespace masticgrade
