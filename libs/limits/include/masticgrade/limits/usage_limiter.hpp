#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Operations per second and operations at once of a customer, over all hosts together.
struct rate_limit {
    double rate = 0;
    double burst = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// What one process has admitted for one customer.
struct customer_usage {
    customer_id customer;
    /// Operations admitted since the process started.
    std::uint64_t admitted = 0;
    /// Recent operations per second.
    double rate = 0;

    friend bool operator==(const customer_usage&, const customer_usage&) = default;
};

/// Sent by each process to each other one several times a second. It holds running totals, so a
/// lost report does no harm.
struct usage_report {
    /// The age of the sending process.
    milliseconds uptime{0};
    /// The process is stopping and admits nothing after this report.
    bool leaving = false;
    /// The process uses its connections to instances for other hosts too.
    bool accepts_leases = false;
    std::vector<customer_usage> usage;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// Enforces the customers' limits over all hosts from reports of what the others admitted.
///
/// Answers this load pattern: most customers stay below their limits on hosts whose parts of the
/// traffic differ and change, and now and then one customer sends several times its rate through
/// all hosts. Each host keeps an estimate of the customer's fleet-wide token bucket: it takes its
/// own operations at once and those of the others as reported, and between two reports assumes that
/// the others go on as they last did. A customer within its rate is then never refused because of an
/// uneven split, and an overload is divided in proportion to what the hosts admitted before.
///
/// A peer that has been silent for `silence_limit` may be cut off and still admit. Its last part of
/// the rate and of the burst is set aside for it; it does the same with this host's part. After
/// `peer_lifetime` it cannot admit any more, since it has had no proof of a current configuration.
///
/// Thread safety: none. Reads no clock; every `now` must be at or after the one before.
class usage_limiter {
public:
    static constexpr milliseconds silence_limit{900};
    static constexpr milliseconds peer_lifetime{6000};

    explicit usage_limiter(boot_time now) : started_(now) {}

    /// Replaces all limits. Customers without one are refused.
    void configure(const std::map<customer_id, rate_limit>& limits, boot_time now);

    /// Takes one operation of the customer if the limit allows it.
    bool admit(const customer_id& customer, boot_time now);

    /// The time after which one operation is likely to be admitted; for the hint in a refusal.
    [[nodiscard]] milliseconds retry_after(const customer_id& customer, boot_time now);

    void on_report(const host_id& sender, incarnation_number incarnation,
                   const usage_report& report, boot_time now);

    [[nodiscard]] usage_report report(boot_time now, bool leaving, bool accepts_leases = false);

    /// Processes heard of within `silence_limit`, this one not counted.
    [[nodiscard]] std::size_t live_peers(boot_time now) const;
    /// Whether the host has been heard of within `silence_limit`.
    [[nodiscard]] bool is_live(const host_id& host, boot_time now) const;
    /// Whether the host was heard of at or after `since` and uses its connections for others too.
    [[nodiscard]] bool accepts_leases(const host_id& host, boot_time since) const;
    /// The part of the fleet's operations that this host admitted of late, between 0 and 1.
    [[nodiscard]] double own_part(boot_time now) const;

private:
    struct peer_usage {
        std::uint64_t admitted = 0;
        double rate = 0;
        /// What has been taken from the bucket since the last report on the assumption that the
        /// peer goes on at `rate`.
        double assumed = 0;
    };
    struct peer {
        incarnation_number incarnation;
        boot_time heard;
        bool accepts_leases = false;
        std::unordered_map<customer_id, peer_usage> usage;
    };
    struct bucket {
        rate_limit limit;
        double level = 0;
        boot_time updated;
        std::uint64_t admitted = 0;
        double own_rate = 0;
        std::uint64_t counted = 0;
        boot_time rate_updated;
    };

    void refill(const customer_id& customer, bucket& tokens, boot_time now);
    void update_own_rate(bucket& tokens, boot_time now) const;
    /// The part of the customer's limit that is set aside for silent peers.
    [[nodiscard]] double silent_part(const customer_id& customer, const bucket& tokens,
                                     boot_time now) const;
    void drop_dead_peers(boot_time now);
    [[nodiscard]] static bool is_silent(const peer& other, boot_time now);

    boot_time started_;
    std::unordered_map<customer_id, bucket> buckets_;
    std::map<host_id, peer> peers_;
};

}  // namespace masticgrade
