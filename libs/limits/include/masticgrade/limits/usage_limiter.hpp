#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Fleet-wide limit of a customer: sustained operations per second and burst size.
struct rate_limit {
    double rate = 0;
    double burst = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Usage of one customer on one process.
struct customer_usage {
    customer_id customer;
    /// Total operations admitted since the customer was last idle on that host.
    std::uint64_t admitted = 0;
    /// Recent admitted operations per second.
    double rate = 0;
    /// Recent requested operations per second, including those refused by the limit.
    double demand = 0;

    friend bool operator==(const customer_usage&, const customer_usage&) = default;
};

/// Usage of all active customers on one process, sent to all others several times a second. Counts
/// are running totals, so a lost report is made up for by the next one.
struct usage_report {
    /// Uptime of the reporting process when it created the report.
    milliseconds uptime{0};
    /// Total time the report spent on relays before it was forwarded.
    milliseconds age{0};
    /// The process is a relay and sends its own reports to all failure domains itself.
    bool is_relay = false;
    /// The process is shutting down and admits nothing after this report.
    bool leaving = false;
    /// The process accepts connection leases: it also uses its connections for other hosts.
    bool accepts_leases = false;
    std::vector<customer_usage> usage;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// Distributed rate limiter: enforces each customer's limit over all hosts, based on usage reports
/// that the processes exchange.
///
/// It is designed for traffic in which most customers stay below their limits but are unevenly
/// distributed over the hosts, and occasionally one customer sends several times its rate through
/// all hosts. Each host keeps an estimate of the customer's fleet-wide token bucket. It subtracts
/// its own operations immediately and those of its peers when they are reported; between reports it
/// extrapolates each peer's last reported rate. A customer within its rate is therefore not refused
/// because of an uneven distribution, and an overload is divided in proportion to the demand on
/// each host.
///
/// Reports may stop at any time, and both sides of a network partition continue to serve. In each
/// round, which ends when the live peers have reported, a host therefore admits at most its
/// fraction of the tokens left at the start of the round and of the tokens that have accrued since.
/// A new process assumes that every listed host may admit operations. When a peer has been silent
/// for `silence_timeout`, its fraction of the rate and burst, as of its last report, is reserved
/// for it; the peer does the same for this host. After `peer_expiry` the peer can no longer admit
/// operations, because it has had no proof that its configuration is current.
///
/// In a large fleet, a customer's operations arrive one at a time on many hosts, and the fraction
/// of one host is below one operation. Every host may therefore also use the upper half of the
/// burst, for the proportion of operations that are within the rate. A sudden overload can exceed
/// the limit by at most the operations of one round, which are deducted from later tokens.
///
/// Processing a report takes time proportional to the customers in it, and admitting an operation
/// takes constant time: the sums over all peers are maintained per customer, and the liveness of
/// the peers is checked only when one of them may have changed.
///
/// Thread safety: none. Does not read the clock; `now` must not decrease between calls.
class usage_limiter {
public:
    static constexpr milliseconds silence_timeout{900};
    static constexpr milliseconds peer_expiry{6000};

    /// `seed` should differ between hosts, so that their random decisions are independent.
    explicit usage_limiter(boot_time now, std::uint64_t seed = 1)
        : started_(now), random_(static_cast<std::minstd_rand::result_type>(seed)) {}
    usage_limiter(const usage_limiter&) = delete;
    usage_limiter& operator=(const usage_limiter&) = delete;
    usage_limiter(usage_limiter&&) = default;
    usage_limiter& operator=(usage_limiter&&) = default;
    ~usage_limiter() = default;

    /// Replaces all limits. Operations of customers without a limit are refused.
    void configure(const std::map<customer_id, rate_limit>& limits, boot_time now);

    /// Admits one operation of the customer if its limit allows it.
    bool admit(const customer_id& customer, boot_time now);

    /// Estimated time until one operation can be admitted; sent to the caller with a refusal.
    [[nodiscard]] milliseconds retry_after(const customer_id& customer, boot_time now);

    /// The values on which an admission decision is based.
    struct admission_state {
        /// Tokens left in the customer's bucket, as estimated by this host.
        double tokens = 0;
        /// Operations that this host may still admit in the current round.
        double allowance = 0;
        /// Fraction of the limit that is reserved for silent hosts.
        double reserved_fraction = 0;
    };
    [[nodiscard]] admission_state state_of(const customer_id& customer, boot_time now) const;

    /// Adds hosts that may be alive. A host is treated as silent until its first report.
    void expect_peers(const std::set<host_id>& hosts, boot_time now);

    /// Processes a report of `reporter`, received directly or through a relay. Returns false if it
    /// is a duplicate or older than the last one: reports may arrive repeatedly and in any order.
    bool on_report(const host_id& reporter, incarnation_number incarnation,
                   const usage_report& report, boot_time now);

    /// Creates this process's next report.
    [[nodiscard]] usage_report report(boot_time now, bool leaving, bool accepts_leases = false);

    /// Number of peers, without this process, that reported within `silence_timeout`.
    [[nodiscard]] std::size_t live_peer_count(boot_time now) const;
    /// Whether the host reported within `silence_timeout`.
    [[nodiscard]] bool is_live(const host_id& host, boot_time now) const;
    /// Whether the host reported at or after `since` that it accepts connection leases.
    [[nodiscard]] bool accepts_leases(const host_id& host, boot_time since) const;
    /// Fraction of the fleet's operations that this host recently admitted, between 0 and 1.
    [[nodiscard]] double local_load_fraction(boot_time now) const;

private:
    /// Recent rates, oldest first.
    using rate_history = std::deque<std::pair<boot_time, double>>;

    struct peer_usage {
        /// The peer's uptime in the last report that contained the customer.
        milliseconds reported_at{0};
        std::uint64_t admitted = 0;
        double rate = 0;
        double demand = 0;
        rate_history rates;
        /// The bucket's `accrued_s` at the last report; gives the number of operations deducted
        /// since then by extrapolating `rate`.
        double accrued_s = 0;
    };
    enum class liveness { live, silent, lost };
    struct peer_state {
        incarnation_number incarnation;
        milliseconds uptime{0};
        boot_time last_heard;
        liveness state = liveness::silent;
        /// The host is listed but has not reported to this process.
        bool never_heard = false;
        bool reported_in_round = false;
        bool accepts_leases = false;
        std::unordered_map<customer_id, peer_usage> usage;
    };
    struct customer_bucket {
        rate_limit limit;
        double level = 0;
        boot_time updated;
        /// Total time for which tokens have accrued, in seconds.
        double accrued_s = 0;
        /// Sums over the live peers, in operations per second.
        double peer_rate = 0;
        double peer_demand = 0;
        std::uint64_t admitted = 0;
        std::uint64_t requested = 0;
        double own_rate = 0;
        double own_demand = 0;
        rate_history own_rates;
        /// Current round, which ends when the live peers have reported.
        boot_time round_started;
        double round_level = 0;
        double round_fraction = 1;
        double round_admitted = 0;
        /// Whether this host may admit at least `min_round_allowance` operations in this round.
        bool round_has_minimum = true;
        /// In a large fleet, the probability of admitting an operation beyond this host's fraction
        /// while the bucket is at least half full.
        double extra_admission_probability = 0;
        /// `admitted` and `requested` when `own_rate` and `own_demand` were last updated.
        std::uint64_t counted_admitted = 0;
        std::uint64_t counted_requested = 0;
        boot_time rate_updated;
        /// Fraction of the limit reserved for silent peers, cached for the value of
        /// `peer_states_version_` in `reserved_fraction_version`.
        mutable double reserved_fraction = 0;
        mutable std::uint64_t reserved_fraction_version = 0;
    };

    /// Updates the liveness of all peers and removes those silent for longer than `peer_expiry`, if
    /// any of them may have changed.
    void update_peer_states(boot_time now);
    void set_state(peer_state& peer, liveness state);
    /// The earliest time at which the peer's liveness can change.
    [[nodiscard]] static boot_time next_change(const peer_state& peer);
    void refill(const customer_id& customer, customer_bucket& bucket, boot_time now);
    void update_own_rate(customer_bucket& bucket, boot_time now) const;
    /// Fraction of the customer's limit that is reserved for silent peers.
    [[nodiscard]] double silent_fraction(const customer_id& customer, const customer_bucket& bucket,
                                         boot_time now) const;
    [[nodiscard]] double compute_silent_fraction(const customer_id& customer,
                                                 const customer_bucket& bucket,
                                                 boot_time now) const;
    /// Adds the peer's rates to the sums in the buckets, or subtracts them if not `included`.
    void include_rates(const peer_state& peer, bool included, boot_time now);
    void clear_usage(peer_state& peer, boot_time now);
    void apply_usage(peer_state& peer, const customer_usage& item, bool has_baseline,
                     boot_time now);
    /// Removes the customers that the peer's last report did not contain.
    void remove_idle_usage(peer_state& peer, boot_time now);
    void start_round_if_reported(boot_time now);
    void start_round(boot_time now);
    /// Decides randomly whether to admit an operation beyond this host's fraction.
    [[nodiscard]] bool draw_extra_admission(const customer_bucket& bucket);
    [[nodiscard]] double round_allowance(const customer_bucket& bucket, double reserved_fraction,
                                         boot_time now) const;
    [[nodiscard]] static double assumed_operations(const customer_bucket& bucket,
                                                   const peer_usage& usage);
    static void record_rate(rate_history& history, boot_time now, double rate);
    [[nodiscard]] static double rate_at(const rate_history& history, boot_time moment);
    [[nodiscard]] static liveness liveness_of(const peer_state& peer, boot_time now);

    boot_time started_;
    /// No peer changes its liveness before this time, unless it reports.
    boot_time next_state_change_;
    std::size_t live_peers_ = 0;
    /// Live peers that have reported in the current round.
    std::size_t peers_in_round_ = 0;
    std::unordered_map<customer_id, customer_bucket> buckets_;
    std::map<host_id, peer_state> peers_;
    /// The same peers. In a large fleet most of the lookups of a host are for all others at once.
    std::unordered_map<host_id, peer_state*> peers_by_name_;
    /// Processes that have reported that they are shutting down.
    std::map<host_id, incarnation_number> departed_;
    /// Hosts that have already been counted as possibly alive.
    std::set<host_id> expected_hosts_;
    /// Incremented when a peer is added, is removed or changes its liveness.
    std::uint64_t peer_states_version_ = 1;
    std::minstd_rand random_;
};

}  // namespace masticgrade
