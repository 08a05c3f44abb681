#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/failover/acknowledgement_tracker.hpp"
#include "masticgrade/failover/failure_detector.hpp"
#include "masticgrade/failover/promotion.hpp"

namespace masticgrade::test {

enum class entry_kind { start, execution, cancellation };

struct log_entry {
    term_number term;
    entry_kind kind = entry_kind::start;
    std::string key;
    friend bool operator==(const log_entry&, const log_entry&) = default;
};
using group_log = std::vector<log_entry>;

enum class store_mode { up, slow, loses_responses, down };

/// Simulates a group of database instances, the store, and three proxy hosts that run the failover
/// classes. Messages are lost, delayed, duplicated and reordered at random, derived from the seed.
class group_model {
public:
    group_model(std::uint64_t seed, int instances);

    void advance(duration time);
    /// Advances the time until just after the next promotion, but at most by `limit`.
    void advance_to_promotion(duration limit);
    void write(int host);
    void start_switchover_at(int host);
    void set_instance_down(int instance, bool down) { instances_[index(instance)].down = down; }
    void set_instance_isolated(int instance, bool isolated);
    void cut_link(int host, int instance, bool cut);
    void set_host_paused(int host, bool paused);
    void restart_host(int host);
    /// Partitions one host and one instance together from everything else.
    void isolate_together(int host, int instance);
    /// Makes the store and the other hosts unreachable from a host, but not the instances.
    void set_host_isolated(int host, bool isolated) { hosts_[index(host)].isolated = isolated; }
    void set_store(store_mode mode) { store_mode_ = mode; }
    /// Ends the faults of instances, links and hosts, but not message faults and store faults.
    void heal_links();
    /// Ends all faults, including message faults.
    void heal();

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t acknowledged() const { return acknowledged_.size(); }
    [[nodiscard]] std::size_t cancelled() const { return cancelled_.size(); }
    /// Restarts the measurement of the longest time between two acknowledgements of each host.
    void measure_gaps();
    [[nodiscard]] duration longest_gap(int host) const { return longest_gap_[index(host)]; }
    [[nodiscard]] const group_record& record() const { return row_; }
    [[nodiscard]] int primary_index() const;
    /// The instance that was promoted at the highest term, regardless of the record in the store.
    [[nodiscard]] int newest_primary() const;
    [[nodiscard]] time_point now() const { return now_; }

private:
    struct instance {
        instance_id id;
        term_number term;
        instance_role role = instance_role::replica;
        group_log log;
        log_position start;
        instance_id leader;
        /// When a replica starts to receive entries, which includes the time to connect to a new
        /// primary.
        time_point replication_start;
        bool down = false;
        bool previously_down = false;
        bool isolated = false;
        [[nodiscard]] term_number last_term() const {
            return log.empty() ? term_number{} : log.back().term;
        }
        [[nodiscard]] log_position received() const { return log_position{log.size()}; }
    };
    /// A write of a caller. It is executed, and retried or cancelled while its outcome is unknown.
    struct operation {
        std::string key;
        bool cancelling = false;
        bool awaiting_confirmation = false;
        bool executed = false;
        bool finished = false;
        term_number term;
        time_point retry_at;
        int tries = 0;
    };
    struct host {
        host_id id;
        std::uint64_t epoch = 0;
        bool paused = false;
        bool isolated = false;
        std::vector<std::function<void()>> backlog;
        group_record known_record;
        std::unique_ptr<failure_detector> detector;
        std::unique_ptr<promotion> attempt;
        std::unique_ptr<acknowledgement_tracker> writes;
        std::map<std::string, operation> operations;
        std::map<write_number, std::string> pending;
        std::set<int> cut_links;
    };
    struct event {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator>(const event& other) const {
            return std::pair{at, sequence} > std::pair{other.at, other.sequence};
        }
    };
    struct execute_reply {
        enum { ok, cancelled, already_executed, rejected } status = rejected;
        term_number term;
        log_position position;
        log_position received;
    };

    static constexpr int host_count = 3;
    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    int index_of(const instance_id& id) const;
    bool chance(double probability);
    duration delay();
    void schedule(duration time, std::function<void()> run);
    /// Delivers a message with random faults. `reachable` is evaluated on arrival.
    void deliver(const std::function<bool()>& reachable, const std::function<void()>& run);
    void run_on_host(int host, std::uint64_t epoch, std::function<void()> run);
    template <class Request, class Handler>
    void call(int host, int instance, Request request, Handler on_response);
    template <class Handler>
    void store_call(int host, const std::function<void()>& effect, Handler on_response);

    void start_host(int host);
    void tick();
    void tick_host(int host);
    void replicate(int primary, int follower);
    void receive_log(instance& follower, const group_log& log);
    void on_record(int host, const group_record& record);
    void read_store(int host);
    void send_record(int from, int to);
    void run_operation(int host, operation& op);
    void on_reply(int host, const std::string& key, const execute_reply& reply);
    execute_reply execute(instance& at, term_number term, const std::string& key, bool cancel);
    void perform(int host, const detector_actions& actions);
    void perform(int host, const promotion_actions& actions);
    void perform(int host, const acknowledgement_actions& actions);
    void start_attempt(int host, const group_record& observed, bool planned);
    void handle_promotion_event(int host, const promotion_event& event);
    void resolve(int host, const write_resolved& resolved);
    void probe(int host, int instance, bool for_detector);
    void check();
    /// Checks that a majority has the write when it is acknowledged, even if instances have been
    /// sealed for a newer term since.
    void check_held_by_majority(const operation& op);
    void add_violation(const std::string& what) { violations_.push_back(what); }

    std::mt19937_64 random_;
    double fault_rate_ = 0.02;
    time_point now_{seconds{1000}};
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_key_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<instance> instances_;
    std::vector<host> hosts_;

    group_record row_;
    store_mode store_mode_ = store_mode::up;

    std::set<std::string> acknowledged_;
    std::set<std::string> cancelled_;
    std::map<term_number, instance_id> promoted_at_;
    std::map<term_number, instance_id> acknowledged_at_;
    std::vector<time_point> last_acknowledged_;
    std::vector<duration> longest_gap_;
    std::vector<std::string> violations_;
};

}  // namespace masticgrade::test
