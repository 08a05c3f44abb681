#include "report_relay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace masticgrade {

namespace {

struct candidate {
    unsigned link_mbps = 0;
    std::uint64_t hash = 0;
    host_id host;

    candidate(host_id name, unsigned bandwidth)
        : link_mbps(bandwidth),
          hash(XXH3_64bits(name.str().data(), name.str().size())),
          host(std::move(name)) {}
    auto operator<=>(const candidate&) const = default;
};

std::vector<host_id> choose_relays(std::vector<candidate> hosts) {
    std::sort(hosts.rbegin(), hosts.rend());
    std::vector<host_id> result;
    for (const auto& item : hosts) {
        if (result.size() < report_relay::relays_per_domain) {
            result.push_back(item.host);
        }
    }
    return result;
}

}  // namespace

report_relay::report_relay(host_id self, failure_domain_id domain, unsigned link_mbps)
    : self_(std::move(self)), domain_(std::move(domain)), link_mbps_(link_mbps) {}

void report_relay::update_hosts(const std::map<host_id, registered_host>& others,
                                const std::function<bool(const host_id&)>& is_live) {
    struct domain_hosts {
        std::vector<candidate> live;
        std::vector<host_id> listed;
    };
    std::map<failure_domain_id, domain_hosts> domains;
    auto& own = domains[domain_];
    own.live.emplace_back(self_, link_mbps_);
    for (const auto& [id, host] : others) {
        auto& hosts = domains[host.failure_domain];
        hosts.listed.push_back(id);
        if (is_live(id)) {
            hosts.live.emplace_back(id, host.link_mbps);
        }
    }
    own_domain_ = {own.listed.begin(), own.listed.end()};
    mates_.clear();
    members_ = own_domain_;
    is_relay_ = false;
    readers_.clear();
    for (const auto& host : choose_relays(own.live)) {
        is_relay_ = is_relay_ || host == self_;
        if (!is_relay_) {
            readers_.push_back(host);
        }
        if (host != self_) {
            mates_.insert(host);
            members_.erase(host);
        }
    }
    if (own.live.size() < relays_per_domain) {
        // Nobody else is known to be alive, so that anyone may be a relay.
        mates_ = own_domain_;
    }
    relays_abroad_.clear();
    for (const auto& [domain, hosts] : domains) {
        if (domain == domain_) {
            continue;
        }
        const auto relays =
            hosts.live.size() < relays_per_domain ? hosts.listed : choose_relays(hosts.live);
        relays_abroad_.insert(relays.begin(), relays.end());
    }
}

void report_relay::keep(const host_id& sender, const peer::host_report& report, boot_time now) {
    if (!is_relay_) {
        return;
    }
    // A host of the own domain that is a relay itself reports to the others on its own.
    const bool goes_abroad =
        sender == report.host && own_domain_.contains(sender) && !report.report.is_relay;
    kept_.push_back({report, now, goes_abroad});
}

std::vector<report_relay::delivery> report_relay::route_own(const peer::host_report& own) const {
    std::set<host_id> recipients = mates_;
    if (is_relay_) {
        recipients.insert(relays_abroad_.begin(), relays_abroad_.end());
        recipients.insert(members_.begin(), members_.end());
    }
    std::vector<delivery> result;
    result.reserve(recipients.size());
    for (const auto& recipient : recipients) {
        result.push_back({recipient, {{own}}});
    }
    return result;
}

std::vector<report_relay::delivery> report_relay::route_kept(boot_time now) {
    peer::usage_reports abroad;
    peer::usage_reports all;
    for (auto& item : std::exchange(kept_, {})) {
        item.report.report.age += std::chrono::duration_cast<milliseconds>(now - item.kept_at);
        if (item.goes_abroad) {
            abroad.reports.push_back(item.report);
        }
        all.reports.push_back(std::move(item.report));
    }
    std::vector<delivery> result;
    if (!is_relay_) {
        return result;
    }
    if (!abroad.reports.empty()) {
        for (const auto& recipient : relays_abroad_) {
            result.push_back({recipient, abroad});
        }
    }
    if (!all.reports.empty()) {
        for (const auto& recipient : members_) {
            result.push_back({recipient, all});
        }
    }
    return result;
}

}  // namespace masticgrade
