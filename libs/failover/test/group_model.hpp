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

enum class store_mode { up, slow, loses_answers, down };

/// A group of database instances, the store, and three proxy hosts that run the decision modules,
/// under simulated time. Messages are lost, delayed, doubled and reordered at random from the seed.
class group_model {
public:
    group_model(std::uint64_t seed, int instances);

    void advance(duration time);
    /// Stops right after the next promotion, or after `limit`.
    void advance_to_promotion(duration limit);
    void write(int host);
    void switch_primary(int host);
    void set_instance_down(int instance, bool down) { instances_[index(instance)].down = down; }
    void set_instance_cut_off(int instance, bool cut_off);
    void cut_link(int host, int instance, bool cut);
    void set_host_paused(int host, bool paused);
    void restart_host(int host);
    /// One host and one instance can reach each other and nothing else.
    void cut_off_together(int host, int instance);
    /// Takes the store and the other hosts away from a host, but not the instances.
    void cut_off_host(int host, bool cut_off) { hosts_[index(host)].cut_off = cut_off; }
    void set_store(store_mode mode) { store_mode_ = mode; }
    /// Ends the faults of instances, links and hosts, but not message loss and store faults.
    void heal_links();
    /// Ends all faults, message loss included.
    void heal();

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t acknowledged() const { return acknowledged_.size(); }
    [[nodiscard]] std::size_t cancelled() const { return cancelled_.size(); }
    /// Starts to measure the longest time between two acknowledgements of each host.
    void measure_gaps();
    [[nodiscard]] duration longest_gap(int host) const { return longest_gap_[index(host)]; }
    [[nodiscard]] const group_record& record() const { return row_; }
    [[nodiscard]] int primary_index() const;
    /// The instance that was promoted last, whatever the store says.
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
        /// A replica takes a while to connect to a new primary.
        time_point replicates_from;
        bool down = false;
        bool was_down = false;
        bool cut_off = false;
        [[nodiscard]] term_number last_term() const {
            return log.empty() ? term_number{} : log.back().term;
        }
        [[nodiscard]] log_position received() const { return log_position{log.size()}; }
    };
    /// One caller's write: executed, and cancelled when the outcome stays unclear.
    struct operation {
        std::string key;
        bool cancelling = false;
        bool waiting = false;
        bool found = false;
        bool over = false;
        term_number term;
        time_point retry_at;
        int tries = 0;
    };
    struct host {
        host_id id;
        std::uint64_t epoch = 0;
        bool paused = false;
        bool cut_off = false;
        std::vector<std::function<void()>> backlog;
        group_record view;
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
        enum { ok, cancelled, found, refused } status = refused;
        term_number term;
        log_position position;
        log_position received;
    };

    static constexpr int host_count = 3;
    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    int index_of(const instance_id& id) const;
    bool chance(double probability);
    duration delay();
    void after(duration time, std::function<void()> run);
    /// Delivers a message with random faults; `reachable` is asked on arrival.
    void deliver(const std::function<bool()>& reachable, const std::function<void()>& run);
    void to_host(int host, std::uint64_t epoch, std::function<void()> run);
    template <class Request, class Answer>
    void call(int host, int instance, Request request, Answer answer);
    template <class Answer>
    void store_call(int host, const std::function<void()>& effect, Answer answer);

    void start_host(int host);
    void tick();
    void tick_host(int host);
    void replicate(int primary, int follower);
    void apply_log(instance& follower, const group_log& log);
    void see_record(int host, const group_record& record);
    void scan(int host);
    void exchange(int from, int to);
    void run_operation(int host, operation& op);
    void on_reply(int host, const std::string& key, const execute_reply& reply);
    execute_reply execute(instance& at, term_number term, const std::string& key, bool cancel);
    void perform(int host, const detector_actions& actions);
    void perform(int host, const promotion_actions& actions);
    void perform(int host, const acknowledgement_actions& actions);
    void begin_attempt(int host, const group_record& observed, bool planned);
    void feed(int host, const promotion_event& event);
    void resolve(int host, const write_resolved& resolved);
    void probe(int host, int instance, bool for_detector);
    void check();
    /// Holds at the moment of every acknowledgement, whatever was sealed since.
    void check_held_by_majority(const operation& op);
    void violated(const std::string& what) { violations_.push_back(what); }

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
