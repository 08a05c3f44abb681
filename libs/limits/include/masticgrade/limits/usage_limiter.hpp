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

/// Operations per second and operations at once of a customer, over all hosts together.
struct rate_limit {
    double rate = 0;
    double burst = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// What one process has admitted for one customer.
struct customer_usage {
    customer_id customer;
    /// Operations admitted since the customer was last idle on that host.
    std::uint64_t admitted = 0;
    /// Recent operations per second.
    double rate = 0;
    /// The same with those that were refused as above the limit.
    double demand = 0;

    friend bool operator==(const customer_usage&, const customer_usage&) = default;
};

/// Made by each process several times a second for all others. It holds running totals, so a lost
/// report does no harm, and only the customers that are not idle there.
struct usage_report {
    /// The age of the reporting process when it made the report.
    milliseconds uptime{0};
    /// Time that other hosts kept the report before they passed it on.
    milliseconds age{0};
    /// The process passes its reports on to all failure domains itself.
    bool is_relay = false;
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
/// an uneven split, and an overload is divided in proportion to what the hosts were asked for.
///
/// Reports may stop at any moment, and both sides of a partition go on. So a host admits, between
/// two rounds of reports from all others, no more than its part of the tokens that were left at the
/// first one and of the rate since; a new process counts every listed host as one that may admit. A
/// peer that has been silent for `silence_timeout` has its part of the rate and of the burst set
/// aside, as of when it was last heard; it does the same. After `peer_expiry` it cannot admit any
/// more, since it has had no proof of a current configuration.
///
/// In a large fleet a customer's operations arrive one by one on many hosts, and parts are below
/// one operation. So every host may use the upper half of the burst, for as many of the operations
/// as are within the limit; a sudden overload spends at most the operations of one round more,
/// which is taken from what follows.
///
/// The work for a report grows with the customers in it, and the work for an operation does not
/// grow with the fleet: sums over all peers are kept per customer.
///
/// Thread safety: none. Reads no clock; every `now` must be at or after the one before.
class usage_limiter {
public:
    static constexpr milliseconds silence_timeout{900};
    static constexpr milliseconds peer_expiry{6000};

    /// `seed` should differ between hosts.
    explicit usage_limiter(boot_time now, std::uint64_t seed = 1)
        : started_(now), random_(static_cast<std::minstd_rand::result_type>(seed)) {}

    /// Replaces all limits. Customers without one are refused.
    void configure(const std::map<customer_id, rate_limit>& limits, boot_time now);

    /// Takes one operation of the customer if the limit allows it.
    bool admit(const customer_id& customer, boot_time now);

    /// The time after which one operation is likely to be admitted; for the hint in a refusal.
    [[nodiscard]] milliseconds retry_after(const customer_id& customer, boot_time now);

    /// What an admission is decided by.
    struct admission_state {
        /// Tokens left by this host's estimate.
        double tokens = 0;
        /// Operations that this host may still admit until all others have reported again.
        double allowance = 0;
        /// The part of the limit that is set aside for silent hosts.
        double reserved_fraction = 0;
    };
    [[nodiscard]] admission_state state_of(const customer_id& customer, boot_time now) const;

    /// The hosts that may be alive. One that is not heard of is taken to be silent.
    void expect_peers(const std::set<host_id>& hosts, boot_time now);

    /// Takes a report of `reporter`, directly or passed on. Returns whether it is news: reports may
    /// arrive twice and in any order.
    bool on_report(const host_id& reporter, incarnation_number incarnation,
                   const usage_report& report, boot_time now);

    [[nodiscard]] usage_report report(boot_time now, bool leaving, bool accepts_leases = false);

    /// Processes heard of within `silence_timeout`, this one not counted.
    [[nodiscard]] std::size_t live_peer_count(boot_time now) const;
    /// Whether the host has been heard of within `silence_timeout`.
    [[nodiscard]] bool is_live(const host_id& host, boot_time now) const;
    /// Whether the host was heard of at or after `since` and uses its connections for others too.
    [[nodiscard]] bool accepts_leases(const host_id& host, boot_time since) const;
    /// The part of the fleet's operations that this host admitted of late, between 0 and 1.
    [[nodiscard]] double local_load_fraction(boot_time now) const;

private:
    /// Rates of the last seconds, oldest first.
    using rate_history = std::deque<std::pair<boot_time, double>>;

    struct peer_usage {
        std::uint64_t admitted = 0;
        double rate = 0;
        double demand = 0;
        rate_history rates;
        /// The bucket's `accrued_s` at the last report. What was taken since on the assumption that
        /// the peer goes on at `rate` follows from it.
        double accrued_s = 0;
    };
    enum class contact { live, silent, lost };
    struct peer {
        incarnation_number incarnation;
        milliseconds uptime{0};
        boot_time heard;
        contact state = contact::silent;
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
        /// Seconds for which tokens have been added.
        double accrued_s = 0;
        /// Sums over the live peers.
        double peer_rate = 0;
        double peer_demand = 0;
        std::uint64_t admitted = 0;
        std::uint64_t asked = 0;
        double own_rate = 0;
        double own_demand = 0;
        rate_history own_rates;
        /// What this host may admit until all others have reported again.
        boot_time round_started;
        double round_level = 0;
        double round_part = 1;
        double round_spent = 0;
        /// Whether this host may admit `least_allowance` in this round.
        bool round_favoured = true;
        /// In a large fleet, the probability with which an operation is admitted beyond the part
        /// while many tokens are left.
        double round_open = 0;
        /// `admitted` and `asked` when the own rates were last updated.
        std::uint64_t counted_admitted = 0;
        std::uint64_t counted_asked = 0;
        boot_time rate_updated;
        /// The part of the limit that is set aside for silent peers, as of `set_aside_view`.
        mutable double reserved_fraction = 0;
        mutable std::uint64_t set_aside_view = 0;
    };

    /// Brings the peers' states up to date.
    void observe_silence(boot_time now);
    void refill(const customer_id& customer, bucket& tokens, boot_time now);
    void update_own_rate(bucket& tokens, boot_time now) const;
    /// The part of the customer's limit that is set aside for silent peers.
    [[nodiscard]] double silent_part(const customer_id& customer, const bucket& tokens,
                                     boot_time now) const;
    [[nodiscard]] double compute_silent_part(const customer_id& customer, const bucket& tokens,
                                             boot_time now) const;
    /// Takes the peer's rates out of the buckets, or puts them back.
    void count_rates(const peer& other, bool counted, boot_time now);
    void forget_usage(peer& other, boot_time now);
    void take_usage(peer& other, const customer_usage& item, bool has_baseline, boot_time now);
    void end_idle_usage(peer& other, const usage_report& report, boot_time now);
    void start_round_when_heard(boot_time now);
    void start_round(boot_time now);
    /// Whether an operation is admitted beyond this host's part.
    [[nodiscard]] bool draws_open_token(const bucket& tokens);
    [[nodiscard]] double round_allowance(const bucket& tokens, double reserved_fraction,
                                         boot_time now) const;
    [[nodiscard]] static double assumed(const bucket& tokens, const peer_usage& usage);
    static void remember(rate_history& history, boot_time now, double rate);
    [[nodiscard]] static double rate_at(const rate_history& history, boot_time moment);
    [[nodiscard]] static contact contact_of(const peer& other, boot_time now);

    boot_time started_;
    std::unordered_map<customer_id, bucket> buckets_;
    std::map<host_id, peer> peers_;
    /// Processes that have said that they end.
    std::map<host_id, incarnation_number> departed_;
    /// Hosts that have been taken into account as possibly alive.
    std::set<host_id> expected_;
    /// Rises with every change of a peer's state.
    std::uint64_t view_ = 1;
    std::minstd_rand random_;
};

}  // namespace masticgrade
