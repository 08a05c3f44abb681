#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "host_registry.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/peer/messages.hpp"
#include "masticgrade/rows/shared_rows.hpp"

namespace masticgrade {

/// A host that may become a relay; hosts with a faster link compare higher.
struct relay_candidate {
    unsigned link_mbps = 0;
    std::uint64_t hash = 0;
    host_id host;

    relay_candidate(host_id name, unsigned bandwidth);
    auto operator<=>(const relay_candidate&) const = default;
};

/// Decides which hosts receive which usage reports.
///
/// Each host needs reports from all other hosts several times a second. In a large fleet, sending
/// every report directly to every host would use most of a small host's CPU and bandwidth.
/// Therefore two hosts of each failure domain, those with the fastest network links, act as relays.
/// A host sends its report to the relays of its domain. A relay sends its own report and those of
/// its domain to the relays of the other domains, and all new reports to the other hosts of its
/// domain. If one relay fails, the other continues. In a domain of two hosts both are relays, so a
/// small fleet exchanges reports directly.
///
/// Does not read the clock. Lives as long as the process. Thread safety: none.
class report_relay {
public:
    static constexpr std::size_t relays_per_domain = 2;
    /// From this number of other hosts on, each relay serves half of its domain: a relay's messages
    /// grow with the square of the hosts, and used its whole link at 295 hosts. When a relay fails,
    /// its half misses reports until the other relay notices.
    static constexpr std::size_t large_fleet = 100;
    /// Hosts of a failure domain that read the store when the relays have no recent rows. The store
    /// may refuse some hosts and serve the others.
    static constexpr std::size_t readers_per_domain = 4;

    report_relay(host_id self, failure_domain_id domain, unsigned link_mbps);

    /// Updates the registered hosts, without this one, and selects the relays among the live ones.
    /// Call before routing reports.
    void update_hosts(const std::map<host_id, registered_host>& others,
                      const std::function<bool(const host_id&)>& is_live);

    [[nodiscard]] bool is_relay() const { return is_relay_; }
    /// The first relay of each failure domain queries the one that reads the store; the other hosts
    /// query the hosts of their domain that rank above them.
    [[nodiscard]] const row_access& rows() const { return rows_; }

    /// Queues a report that `sender` sent or forwarded, to be forwarded by this host if it is a
    /// relay.
    void enqueue(const host_id& sender, const peer::host_report& report, boot_time now);

    struct delivery {
        std::vector<host_id> recipients;
        peer::usage_reports message;
    };
    /// The messages that carry this host's own report.
    [[nodiscard]] std::vector<delivery> route_own(const peer::host_report& own) const;
    /// The messages that forward the reports queued since the last call, with ages updated to
    /// `now`.
    [[nodiscard]] std::vector<delivery> route_queued(boot_time now);

private:
    struct queued_report {
        peer::host_report report;
        boot_time queued_at;
        /// Whether it is also forwarded to the other failure domains.
        bool for_other_domains = false;
    };

    /// Whether the hosts or their liveness differ from the last call.
    bool hosts_changed(const std::map<host_id, registered_host>& others,
                       const std::function<bool(const host_id&)>& is_live);
    /// Removes the hosts that the other relay of the domain serves.
    void divide_members(const std::vector<host_id>& relays);
    [[nodiscard]] row_access choose_row_access(std::vector<relay_candidate> domain_hosts,
                                               std::vector<relay_candidate> first_relays) const;

    host_id self_;
    failure_domain_id domain_;
    unsigned link_mbps_;
    std::map<host_id, registered_host> others_;
    /// Liveness of `others_`, in order.
    std::vector<bool> live_;
    bool is_relay_ = false;
    /// The other relays of the own failure domain.
    std::set<host_id> peer_relays_;
    /// The relays of the other failure domains.
    std::set<host_id> remote_relays_;
    row_access rows_;
    /// Hosts of the own failure domain that receive all reports from this one.
    std::set<host_id> domain_members_;
    std::set<host_id> domain_hosts_;
    std::vector<queued_report> queue_;
};

}  // namespace masticgrade
