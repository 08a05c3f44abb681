#include "report_relay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace masticgrade {

namespace {

/// The first `count` of the hosts in order of preference.
std::vector<host_id> choose_hosts(std::vector<relay_candidate> hosts, std::size_t count) {
    std::sort(hosts.rbegin(), hosts.rend());
    std::vector<host_id> result;
    for (const auto& item : hosts) {
        if (result.size() < count) {
            result.push_back(item.host);
        }
    }
    return result;
}

std::vector<host_id> choose_relays(std::vector<relay_candidate> hosts) {
    return choose_hosts(std::move(hosts), report_relay::relays_per_domain);
}

}  // namespace

relay_candidate::relay_candidate(host_id name, unsigned bandwidth)
    : link_mbps(bandwidth),
      hash(XXH3_64bits(name.str().data(), name.str().size())),
      host(std::move(name)) {}

report_relay::report_relay(host_id self, failure_domain_id domain, unsigned link_mbps)
    : self_(std::move(self)), domain_(std::move(domain)), link_mbps_(link_mbps) {}

void report_relay::update_hosts(const std::map<host_id, registered_host>& others,
                                const std::function<bool(const host_id&)>& is_live) {
    if (!hosts_changed(others, is_live)) {
        return;
    }
    struct domain_hosts {
        std::vector<relay_candidate> live;
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
    domain_hosts_ = {own.listed.begin(), own.listed.end()};
    peer_relays_.clear();
    domain_members_ = domain_hosts_;
    is_relay_ = false;
    const auto relays = choose_relays(own.live);
    for (const auto& host : relays) {
        is_relay_ = is_relay_ || host == self_;
        if (host != self_) {
            peer_relays_.insert(host);
            domain_members_.erase(host);
        }
    }
    if (others.size() >= large_fleet && is_relay_) {
        divide_members(relays);
    }
    if (own.live.size() < relays_per_domain) {
        // No other host is known to be live, so any of them may be a relay.
        peer_relays_ = domain_hosts_;
    }
    remote_relays_.clear();
    for (const auto& [domain, hosts] : domains) {
        if (domain == domain_) {
            continue;
        }
        const auto relays =
            hosts.live.size() < relays_per_domain ? hosts.listed : choose_relays(hosts.live);
        remote_relays_.insert(relays.begin(), relays.end());
    }
    std::vector<relay_candidate> first_relays;
    for (const auto& [domain, hosts] : domains) {
        if (!hosts.live.empty()) {
            first_relays.push_back(*std::max_element(hosts.live.begin(), hosts.live.end()));
        }
    }
    rows_ = choose_row_access(own.live, std::move(first_relays));
}

void report_relay::divide_members(const std::vector<host_id>& relays) {
    std::erase_if(domain_members_, [&](const host_id& member) {
        const auto hash = XXH3_64bits(member.str().data(), member.str().size());
        return relays[hash % relays.size()] != self_;
    });
}

bool report_relay::hosts_changed(const std::map<host_id, registered_host>& others,
                                 const std::function<bool(const host_id&)>& is_live) {
    std::vector<bool> live;
    live.reserve(others.size());
    for (const auto& [id, host] : others) {
        live.push_back(is_live(id));
    }
    const bool is_first = domain_hosts_.empty() && rows_.sources.empty() && live_.empty();
    if (!is_first && live == live_ && others == others_) {
        return false;
    }
    live_ = std::move(live);
    others_ = others;
    return true;
}

row_access report_relay::choose_row_access(std::vector<relay_candidate> domain_hosts,
                                           std::vector<relay_candidate> first_relays) const {
    row_access result;
    const auto readers = choose_hosts(std::move(domain_hosts), readers_per_domain);
    for (const auto& host : readers) {
        if (host == self_) {
            break;
        }
        result.sources.push_back(host);
    }
    result.reads_store = result.sources.size() < readers_per_domain;
    if (result.sources.empty()) {
        const auto fleet_reader = choose_hosts(std::move(first_relays), 1).front();
        if (fleet_reader != self_) {
            result.sources.push_back(fleet_reader);
        }
    }
    return result;
}

void report_relay::enqueue(const host_id& sender, const peer::host_report& report, boot_time now) {
    if (!is_relay_) {
        return;
    }
    // A host of the own domain that is itself a relay reports to the other domains directly.
    const bool for_other_domains =
        sender == report.host && domain_hosts_.contains(sender) && !report.report.is_relay;
    queue_.push_back({report, now, for_other_domains});
}

std::vector<report_relay::delivery> report_relay::route_own(const peer::host_report& own) const {
    std::set<host_id> recipients = peer_relays_;
    if (is_relay_) {
        recipients.insert(remote_relays_.begin(), remote_relays_.end());
        recipients.insert(domain_members_.begin(), domain_members_.end());
    }
    return {{{recipients.begin(), recipients.end()}, {{own}}}};
}

std::vector<report_relay::delivery> report_relay::route_queued(boot_time now) {
    peer::usage_reports domain_reports;
    peer::usage_reports all_reports;
    for (auto& item : std::exchange(queue_, {})) {
        item.report.report.age += std::chrono::duration_cast<milliseconds>(now - item.queued_at);
        if (item.for_other_domains) {
            domain_reports.reports.push_back(item.report);
        }
        all_reports.reports.push_back(std::move(item.report));
    }
    std::vector<delivery> result;
    if (!is_relay_) {
        return result;
    }
    if (!domain_reports.reports.empty()) {
        result.push_back(
            {{remote_relays_.begin(), remote_relays_.end()}, std::move(domain_reports)});
    }
    if (!all_reports.reports.empty()) {
        result.push_back(
            {{domain_members_.begin(), domain_members_.end()}, std::move(all_reports)});
    }
    return result;
}

}  // namespace masticgrade
