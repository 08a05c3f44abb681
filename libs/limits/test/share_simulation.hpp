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
    double lost = 0;
    double doubled = 0;
    /// Part of the messages that arrive up to `longest_delay` late, after later ones.
    double late = 0;
    microseconds shortest_delay{500};
    microseconds usual_delay{2000};
    microseconds longest_delay{5'000'000};
};

struct options {
    int hosts = 7;
    share_settings settings;
    network_options network;
    /// What the freshness rule of section 4.5 promises; the share settings have to match it.
    duration freshness_window = seconds(3);
    duration removal_delay = milliseconds(2500);
    /// Whether a load balancer sends statements only to hosts that are ready.
    bool balancer = false;
};

struct counts {
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Statements that one token bucket for the whole fleet would have admitted, at once or within
    /// the token wait.
    std::uint64_t in_rate = 0;
    /// Statements in the rate that were refused as above it.
    std::uint64_t refused_in_rate = 0;
    /// Statements refused because the host was not current; callers repeat them elsewhere.
    std::uint64_t not_current = 0;
};

/// A fleet of processes on one simulated clock, with the store, the freshness rule and the network
/// in their simplest sound form. The same seed gives the same run.
class fleet {
public:
    fleet(options settings, std::uint64_t seed);

    void set_customer(const std::string& name, double rate, double burst);
    /// Statements per second that callers of one host send for a customer (Poisson).
    void set_load(const std::string& name, int host, double statements_per_second);
    void run_for(duration span);

    void kill(int host);
    /// Starts a new process in place of whatever runs on the host.
    void restart(int host);
    void pause(int host, duration span);
    /// Stops a host as planned: it leaves the members, hands over, and ends after two seconds.
    /// Does nothing when the host's list is not the newest or not accepted yet.
    void leave(int host);
    /// Separates a host from the others and, if `store_too`, from the store.
    void cut_off(int host, bool cut, bool store_too);
    void set_store(bool up) { store_up_ = up; }
    /// Removes a member, dead or alive, if the last change is accepted by a majority.
    void remove_member(int host);
    /// Sends the callers of a host to the other hosts.
    void redistribute_load(int from);

    void reset_counts();
    [[nodiscard]] counts total() const;
    [[nodiscard]] const counts& of(const std::string& name) const;
    /// The most by which the admitted statements exceed burst + rate x time over any interval.
    [[nodiscard]] double worst_excess() const;
    /// The largest sum, at any moment, of the shares and pools of one customer that processes which
    /// believe themselves current may use. The bound follows from a sum of at most 1; a sum above
    /// it shows a fault even where no traffic happens to use it.
    [[nodiscard]] double worst_share_sum() const { return worst_share_sum_; }
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
        bool cut = false;
        bool cut_from_store = false;
        std::optional<time_point> died;
        std::vector<std::function<void()>> deferred;
    };
    /// Integrates the highest rate in force and finds the interval with the largest excess.
    struct bound_check {
        double integral = 0;
        double lowest_start = 1e300;
        double worst = -1e300;
        std::uint64_t admitted = 0;
    };
    /// One bucket for the whole fleet that lets statements wait as the holders do: it may owe the
    /// tokens that arrive within the token wait.
    struct reference_limit {
        double rate = 0;
        double burst = 0;
        double level = 0;
        time_point updated;

        bool admit(duration longest_wait, time_point now);
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
        bool in_rate = false;
    };

    void at(time_point when, std::function<void()> run);
    void on_host(int host, const std::function<void()>& run);
    [[nodiscard]] bool runs(int host) const;
    [[nodiscard]] bool is_ready(int host) const;
    int balanced(int host);
    void advance_to(time_point when);
    void step_bounds(time_point when);
    void update_obsolete();
    void check_share_sums();
    void publish(fleet_snapshot next, bool members_changed);
    [[nodiscard]] bool last_change_accepted() const;
    void start_process(int host);
    void poll(int host);
    void exchange(int host);
    void apply(int host, const fleet_snapshot_ptr& snapshot);
    void maintain_members();
    void run_timers(int host);
    void perform(int host, share_actions& actions);
    void transmit(const share_envelope& envelope);
    void arrive(const std::string& name, int host);
    void schedule_arrival(const std::string& name, int host, std::uint64_t generation);
    void count_admitted(const std::string& name);
    void count_refused(const std::string& name, bool in_rate, refusal_reason reason);
    [[nodiscard]] time_point local(int host) const;
    [[nodiscard]] duration random_delay();
    bool chance(double probability);

    options options_;
    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t order_ = 0;
    std::uint64_t messages_ = 0;
    double worst_share_sum_ = 0;
    std::uint64_t next_incarnation_ = 1;
    bool store_up_ = true;
    std::priority_queue<event> events_;
    std::vector<host> hosts_;
    fleet_snapshot_ptr latest_;
    std::map<std::string, customer_state> customers_;
    std::map<std::pair<std::string, int>, std::uint64_t> arrival_generation_;
    std::map<ticket_key, open_statement> open_;
};

}  // namespace masticgrade::simulation
