#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "host_registry.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/peer/messages.hpp"

namespace masticgrade {

/// Decides which reports of use go to which hosts.
///
/// Answers this load pattern: in a large fleet each host has to know of all others several times a
/// second, and a message from each to each other one would take most of a small host's processor
/// and link. So two hosts of each failure domain, the relays, pass reports on, those with the
/// fastest links first: a host sends its own
/// to the relays of its domain; a relay sends its own and those of its domain to the relays of the
/// other domains, and all that is new to the other hosts of its domain. With one relay silent the
/// other goes on. In a domain of two hosts both are relays, so that a small fleet exchanges reports
/// directly.
///
/// Reads no clock. Lives as long as the process. Thread safety: none.
class report_relay {
public:
    static constexpr std::size_t relays_per_domain = 2;

    report_relay(host_id self, failure_domain_id domain, unsigned link_mbps);

    /// The listed hosts, without this one, and which of them have been heard of lately. Call before
    /// the reports of a round are routed.
    void update_hosts(const std::map<host_id, registered_host>& others,
                      const std::function<bool(const host_id&)>& is_live);

    [[nodiscard]] bool is_relay() const { return is_relay_; }
    /// The relays of the own failure domain that go before this host, the first one first: those
    /// that read the store for it.
    [[nodiscard]] const std::vector<host_id>& readers() const { return readers_; }

    /// Keeps a report that another host sent, directly or for a third one, to pass it on.
    void keep(const host_id& sender, const peer::host_report& report, boot_time now);

    struct delivery {
        host_id recipient;
        peer::usage_reports message;
    };
    /// The messages for this host's own report.
    [[nodiscard]] std::vector<delivery> route_own(const peer::host_report& own) const;
    /// The messages for the reports kept since the last call; their age is counted up to `now`.
    [[nodiscard]] std::vector<delivery> route_kept(boot_time now);

private:
    struct kept_report {
        peer::host_report report;
        boot_time kept_at;
        /// Whether it goes to the other failure domains too.
        bool goes_abroad = false;
    };

    host_id self_;
    failure_domain_id domain_;
    unsigned link_mbps_;
    bool is_relay_ = false;
    /// The other relays of the own failure domain and those of the others.
    std::set<host_id> mates_;
    std::set<host_id> relays_abroad_;
    std::vector<host_id> readers_;
    /// Hosts of the own failure domain that get everything from this one.
    std::set<host_id> members_;
    std::set<host_id> own_domain_;
    std::vector<kept_report> kept_;
};

}  // namespace masticgrade
