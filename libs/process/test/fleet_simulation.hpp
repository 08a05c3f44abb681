#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/process/freshness.hpp"
#include "masticgrade/process/membership.hpp"

namespace masticgrade::test {

struct simulation_settings {
    std::size_t hosts = 5;
    milliseconds max_delay{30};
    /// Whether all hosts are members from the start instead of joining one by one.
    bool listed_at_start = false;
    membership_settings membership = {};
};

/// Deterministic simulation of several hosts with freshness and membership, a store and a faulty
/// network, driven by one seeded schedule. It records which processes applied each version, derives
/// when each version was accepted, and checks after every event which hosts may start work.
class fleet_simulation {
public:
    fleet_simulation(simulation_settings settings, std::uint64_t seed);

    /// Processes the events of this time span.
    void run(milliseconds length);
    [[nodiscard]] time_point now() const noexcept { return now_; }
    std::mt19937_64& random() noexcept { return random_; }

    // Faults. Hosts are identified by their index in the order in which they were added.
    void set_store_available(bool available) { store_available_ = available; }
    void set_store_reachable(std::size_t host, bool reachable);
    void set_loss_probability(double probability) { loss_probability_ = probability; }
    /// The probability that a message takes up to 5 s.
    void set_delay_probability(double probability) { delay_probability_ = probability; }
    /// Hosts with different values in `sides` cannot exchange messages.
    void partition(std::map<std::size_t, int> sides) { sides_ = std::move(sides); }
    void cut_link(std::size_t left, std::size_t right, bool cut);
    void pause(std::size_t host, milliseconds length);
    /// Ends the process and starts a new one on the same host, without its state.
    void restart(std::size_t host);
    /// Ends the process permanently and starts one on a new host, whose index it returns.
    std::size_t replace(std::size_t host);
    void kill(std::size_t host);
    /// Starts a process on a new host, whose index it returns.
    std::size_t add();
    /// Commits a version that leaves the members unchanged, like an operator's change.
    void change_configuration();

    [[nodiscard]] std::vector<std::size_t> alive_hosts() const;
    [[nodiscard]] bool may_start_work(std::size_t host) const;
    [[nodiscard]] bool listed(std::size_t host) const;
    [[nodiscard]] fleet_version applied_version(std::size_t host) const;
    [[nodiscard]] fleet_version store_version() const { return versions_.rbegin()->first; }
    [[nodiscard]] const members& store_list() const { return versions_.rbegin()->second.list; }

    /// Describes each time that a host could start work under a version more than 3 s after a newer
    /// one was accepted.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t work_checks() const noexcept { return work_checks_; }
    [[nodiscard]] std::size_t permitted() const noexcept { return permitted_; }
    [[nodiscard]] std::size_t accepted_versions() const;
    /// The age of the host's currency proof; empty outside the freshness window.
    [[nodiscard]] std::optional<duration> current_age(std::size_t host) const;
    [[nodiscard]] std::size_t exchanges() const noexcept { return exchanges_; }
    [[nodiscard]] std::size_t removals() const noexcept { return removals_; }
    /// Removals of a host whose process was running when the change was committed.
    [[nodiscard]] std::size_t removals_of_living() const noexcept { return removals_of_living_; }

private:
    struct version_record {
        members list;
        std::set<std::pair<host_id, incarnation_number>> applied_by;
        std::optional<time_point> accepted_at;
    };
    struct process {
        process(member self, const simulation_settings& settings, std::uint64_t seed,
                time_point now)
            : membership(std::move(self), settings.membership, std::mt19937_64{seed}, now),
              freshness(membership.self()) {}

        bool has_snapshot = false;
        fleet_version applied;
        class membership membership;
        class freshness freshness;
    };
    struct host {
        member description;
        /// Empty when the host is down. Each process is a new object, so that events for a previous
        /// process are detected.
        std::shared_ptr<process> running;
        time_point paused_until = time_point::min();
        bool store_reachable = true;
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const event& other) const {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };
    using process_action = std::function<void(process&)>;

    std::size_t add_host();
    void start(std::size_t host);
    void schedule(milliseconds delay, std::function<void()> action);
    /// Runs the action on the process unless it has ended; a paused process runs it when it
    /// resumes.
    void deliver(std::size_t host, const std::weak_ptr<process>& target,
                 const process_action& action);
    void send(std::size_t from, std::size_t to, const process_action& action);
    [[nodiscard]] bool connected(std::size_t left, std::size_t right) const;
    milliseconds random_delay();
    bool chance(double probability);

    void tick(std::size_t host);
    void poll_store(std::size_t host);
    void exchange(std::size_t host, const host_id& peer);
    void answer_exchange(std::size_t host, std::size_t requester, process& self,
                         const std::weak_ptr<process>& requester_process, time_point sent_at,
                         const std::shared_ptr<bool>& answered);
    void fetch_rows(std::size_t host, std::size_t peer);
    void commit_members(std::size_t host, const change_members& change);
    void record_version(members list);
    void apply(std::size_t host, fleet_version version);
    void check_work(std::size_t host);
    [[nodiscard]] std::optional<std::size_t> number_of(const host_id& id) const;

    simulation_settings settings_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t next_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<host> hosts_;
    std::map<host_id, std::size_t> numbers_;
    std::map<fleet_version, version_record> versions_;

    bool store_available_ = true;
    double loss_probability_ = 0;
    double delay_probability_ = 0;
    std::map<std::size_t, int> sides_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;

    std::vector<std::string> violations_;
    std::size_t work_checks_ = 0;
    std::size_t permitted_ = 0;
    std::size_t exchanges_ = 0;
    std::size_t removals_ = 0;
    std::size_t removals_of_living_ = 0;
};

}  // namespace masticgrade::test
