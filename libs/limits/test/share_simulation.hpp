#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "masticgrade/limits/rate_shares.hpp"

namespace masticgrade::simulation {

struct network_options {
    double loss_probability = 0;
    double duplicate_probability = 0;
    /// Probability of an extra delay of up to `max_extra_delay`, by which messages are reordered.
    double delay_probability = 0;
    microseconds min_delay{500};
    microseconds max_delay{2000};
    microseconds max_extra_delay{5'000'000};
};

struct options {
    int hosts = 7;
    share_settings settings;
    network_options network;
    /// Guaranteed by the freshness rule of section 4.5; the share settings have to match it.
    duration freshness_window = seconds(3);
    duration removal_delay = milliseconds(2500);
    /// Whether a load balancer sends statements only to ready hosts.
    bool has_load_balancer = false;
};

struct counts {
    std::uint64_t requested = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Statements that a single token bucket for the whole fleet would have admitted, immediately
    /// or within `max_token_wait`.
    std::uint64_t within_rate = 0;
    /// Statements within the rate that were refused for exceeding it.
    std::uint64_t refused_within_rate = 0;
    /// Statements refused because the host was not current; callers retry them on another host.
    std::uint64_t not_current = 0;
};

/// Simulates a fleet of processes with simple, correct models of the store, the freshness rule and
/// the network, on a simulated clock. Deterministic for a given seed.
class fleet {
public:
    fleet(options settings, std::uint64_t seed);

    void set_customer(const std::string& name, double rate, double burst);
    /// Sets the statements per second that callers send to one host for a customer (Poisson).
    void set_load(const std::string& name, int host, double statements_per_second);
    void run_for(duration span);

    void kill(int host);
    /// Kills the process on the host, if any, and starts a new one.
    void restart(int host);
    void pause(int host, duration span);
    /// Shuts a host down as planned: it leaves the members list, hands its ledgers over and stops
    /// after two seconds. Does nothing if the host's list is not the newest or not accepted yet.
    void leave(int host);
    /// Disconnects a host from the others and, if `from_store`, from the store, or reconnects it.
    void set_isolated(int host, bool isolated, bool from_store);
    void set_store_available(bool up) { store_available_ = up; }
    /// Removes a member, running or not, if a majority has accepted the last change.
    void remove_member(int host);
    /// Distributes the load of a host evenly over the other hosts.
    void redistribute_load(int from);

    void reset_counts();
    [[nodiscard]] counts total() const;
    [[nodiscard]] const counts& of(const std::string& name) const;
    /// The largest excess of the admitted statements over burst + rate x time in any interval.
    [[nodiscard]] double max_excess() const;
    /// The largest sum, at any time, of one customer's shares and pools on the processes that
    /// consider themselves current. A sum of at most 1 implies the limit; a larger sum is a fault
    /// even if no statements use the excess.
    [[nodiscard]] double max_share_sum() const { return max_share_sum_; }
    [[nodiscard]] int owner_of(const std::string& name) const;
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    struct process {
        host_process identity;
        std::unique_ptr<rate_shares> shares;
        fleet_snapshot_ptr snapshot;
        time_point fresh_until{};
        bool joining = false;
        bool leaving = false;
    };
    struct host {
        std::unique_ptr<process> running;
        duration clock_offset{};
        time_point paused_until{};
        bool isolated = false;
        bool isolated_from_store = false;
        std::optional<time_point> died_at;
        std::vector<std::function<void()>> deferred;
    };
    /// Integrates the highest configured rate in use and finds the interval with the largest
    /// excess.
    struct bound_check {
        double integral = 0;
        double min_start = 1e300;
        double worst = -1e300;
        std::uint64_t admitted = 0;
    };
    /// A single bucket for the whole fleet that lets statements wait like the holders do: its level
    /// may go negative by the tokens that accrue within `max_token_wait`.
    struct reference_limit {
        double rate = 0;
        double burst = 0;
        double level = 0;
        time_point updated;

        bool admit(duration max_wait, time_point now);
    };
    struct customer_state {
        std::map<fleet_version, customer_config> configs;
        std::map<fleet_version, time_point> obsolete_at;
        bound_check bound;
        counts result;
        reference_limit reference;
        std::vector<double> load;
    };
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return std::pair{when, order} > std::pair{other.when, other.order};
        }
    };

    using ticket_key = std::pair<host_process, admission_ticket>;
    struct open_statement {
        std::string customer;
        bool within_rate = false;
    };

    void schedule(time_point when, std::function<void()> run);
    void on_host(int host, const std::function<void()>& run);
    [[nodiscard]] bool runs(int host) const;
    [[nodiscard]] bool is_ready(int host) const;
    int select_host(int host);
    void advance_to(time_point when);
    void advance_bounds(time_point when);
    void remove_obsolete_configs();
    void check_share_sums();
    void publish(fleet_snapshot next, bool members_changed);
    [[nodiscard]] bool last_change_accepted() const;
    void start_process(int host);
    void poll(int host);
    void exchange(int host);
    void apply(int host, const fleet_snapshot_ptr& snapshot);
    void maintain_members();
    void run_timers(int host);
    void execute(int host, share_actions& actions);
    void transmit(const share_envelope& envelope);
    void submit_statement(const std::string& name, int host);
    void schedule_statement(const std::string& name, int host, std::uint64_t generation);
    void count_admitted(const std::string& name);
    void count_refused(const std::string& name, bool within_rate, refusal_reason reason);
    [[nodiscard]] time_point local(int host) const;
    [[nodiscard]] duration random_delay();
    bool chance(double probability);

    options options_;
    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t order_ = 0;
    std::uint64_t messages_ = 0;
    double max_share_sum_ = 0;
    std::uint64_t next_incarnation_ = 1;
    bool store_available_ = true;
    std::priority_queue<event> events_;
    std::vector<host> hosts_;
    fleet_snapshot_ptr latest_;
    std::map<std::string, customer_state> customers_;
    std::map<std::pair<std::string, int>, std::uint64_t> load_generation_;
    std::map<ticket_key, open_statement> open_;
};

}  // namespace masticgrade::simulation
