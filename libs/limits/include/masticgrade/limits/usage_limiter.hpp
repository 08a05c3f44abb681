#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
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
/// the others go on as they last did. A customer within its rate is then never refused because of
/// an uneven split, and an overload is divided in proportion to what the hosts admitted before.
///
/// Reports may stop at any moment, and both sides of a partition go on. So a host admits, between
/// two rounds of reports from all others, no more than its part of the tokens that were left at the
/// first one and of the rate since; a new process counts every listed host as one that may admit. A
/// peer that has been silent for `silence_limit` has its part of the rate and of the burst set
/// aside, as of when it was last heard; it does the same. After `peer_lifetime` it cannot admit any
/// more, since it has had no proof of a current configuration.
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

    /// What an admission is decided by.
    struct state {
        /// Tokens left by this host's estimate.
        double tokens = 0;
        /// Operations that this host may still admit until all others have reported again.
        double allowance = 0;
        /// The part of the limit that is set aside for silent hosts.
        double set_aside = 0;
    };
    [[nodiscard]] state describe(const customer_id& customer, boot_time now) const;

    /// The hosts that may be alive. One that is not heard of is taken to be silent.
    void expect_peers(const std::set<host_id>& hosts, boot_time now);

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
    /// Rates of the last seconds, oldest first.
    using rate_history = std::deque<std::pair<boot_time, double>>;

    struct peer_usage {
        std::uint64_t admitted = 0;
        double rate = 0;
        rate_history rates;
        /// What has been taken from the bucket since the last report on the assumption that the
        /// peer goes on at `rate`.
        double assumed = 0;
    };
    struct peer {
        incarnation_number incarnation;
        boot_time heard;
        /// Listed, but not heard of by this process.
        bool never_heard = false;
        bool heard_in_round = false;
        bool accepts_leases = false;
        std::unordered_map<customer_id, peer_usage> usage;
    };
    struct bucket {
        rate_limit limit;
        double level = 0;
        boot_time updated;
        std::uint64_t admitted = 0;
        double own_rate = 0;
        rate_history own_rates;
        /// What this host may admit until all others have reported again.
        boot_time round_started;
        double round_level = 0;
        double round_part = 1;
        double round_spent = 0;
        std::uint64_t counted = 0;
        boot_time rate_updated;
    };

    void refill(const customer_id& customer, bucket& tokens, boot_time now);
    void update_own_rate(bucket& tokens, boot_time now) const;
    /// The part of the customer's limit that is set aside for silent peers.
    [[nodiscard]] double silent_part(const customer_id& customer, const bucket& tokens,
                                     boot_time now) const;
    void drop_dead_peers(boot_time now);
    void start_round(boot_time now);
    [[nodiscard]] double round_allowance(const bucket& tokens, double set_aside,
                                         boot_time now) const;
    static void remember(rate_history& history, boot_time now, double rate);
    [[nodiscard]] static double rate_at(const rate_history& history, boot_time moment);
    [[nodiscard]] static bool is_silent(const peer& other, boot_time now);

    boot_time started_;
    std::unordered_map<customer_id, bucket> buckets_;
    std::map<host_id, peer> peers_;
};

}  // namespace masticgrade
