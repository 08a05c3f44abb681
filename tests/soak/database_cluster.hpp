#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_index.hpp"
#include "sent_statements.hpp"

namespace masticgrade::soak {

/// The time of day, as in the log lines of the hosts.
inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// One commit in an instance's log.
struct commit {
    log_index index;
    std::string item;
    std::string value;
    std::string statement;
};

/// The instances of one database group with a log each, three at a time. They speak the line
/// protocol, and note what must not happen. Thread safety: none; one executor.
class database_cluster {
public:
    explicit database_cluster(boost::asio::io_context& context);
    database_cluster(const database_cluster&) = delete;
    database_cluster& operator=(const database_cluster&) = delete;
    ~database_cluster();

    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] unsigned short port_of(const std::string& name) const;
    [[nodiscard]] bool is_up(const std::string& name) const;
    [[nodiscard]] bool is_primary(const std::string& name) const;
    /// Whether a PAUSE keeps the instance from receiving.
    [[nodiscard]] bool is_held(const std::string& name) const;
    /// Whether an instance leads, also one that is down.
    [[nodiscard]] bool has_primary() const;

    /// Unix time in ms of the start of the instance's process; each start has a later one.
    [[nodiscard]] std::uint64_t born(const std::string& name) const;
    /// Writes that callers know to be kept and the instance's log lacks.
    [[nodiscard]] std::size_t missing_writes(const std::string& name) const;

    /// Number of commits in the instance's log.
    [[nodiscard]] std::size_t log_size(const std::string& name) const;

    void crash(const std::string& name);
    /// Starts the instance again with its log; as a replica if another one leads.
    void restart(const std::string& name);
    /// Starts the instance again as a replica with an empty log. While a primary runs, its log is
    /// transferred during `transfer`, and the instance receives nothing before that.
    void restart_empty(const std::string& name, milliseconds transfer);
    /// Starts the instance that leads again with an empty log. It still leads, and replicas keep
    /// their logs until it commits.
    void restart_empty_leading(const std::string& name);
    /// Starts a further replica, whose id is returned. The primary's log is transferred to it.
    std::string join(milliseconds transfer);
    /// Ends the instance. A new one, whose id is returned, has its log after `transfer`, and a part
    /// of it until then.
    std::string replace(const std::string& name, milliseconds transfer);
    /// Starts the instance again with its log under a new id, which is returned. It still leads if
    /// it did.
    std::string restart_renamed(const std::string& name);
    /// While it is deaf, an instance runs and answers orders, and receives nothing.
    void set_deaf(const std::string& name, bool deaf);
    /// The instance is deaf, and all others are once this many further writes have been
    /// acknowledged.
    void stop_receiving_after(const std::string& name, std::size_t writes);
    /// Whether that number has been reached.
    [[nodiscard]] bool has_stopped_receiving() const { return !writes_until_deaf_; }
    /// PAUSE and RESUME are carried out after this delay and not answered; at once without one.
    void delay_orders(std::optional<milliseconds> delay) { order_delay_ = delay; }
    /// A RESUME of this instance is not answered from now on, and carried out late.
    void hold_back_resumes(const std::string& name) { resumes_held_back_ = name; }
    /// Carries out the RESUMEs that were held back. Returns their number.
    std::size_t carry_out_resumes();
    [[nodiscard]] std::size_t resumes_held_back() const { return late_resumes_.size(); }
    void stop_holding_back() { resumes_held_back_.reset(); }
    /// A fault of the instance's surroundings that reports of lost writes name.
    void note(const std::string& name, const std::string& fault, bool present);
    /// Statements of the customer count as faults from `deadline` on.
    void withdraw(const std::string& customer, time_point deadline);
    void set_limit(const std::string& customer, double rate, double burst);
    /// This share of the answers is sent once more, after one of the next three requests on the
    /// connection has arrived. Some statements are refused, so that refusals are repeated, too.
    void repeat_answers(double share, std::uint64_t seed);
    /// Reports the writes that callers believe to be kept and the leader does not have.
    void check_acknowledged();
    /// Accepts a promotion call; false when a call with a higher fence has been seen, or the
    /// instance does not run. A higher fence voids the earlier calls that have not taken effect,
    /// also when its own call is refused. An accepted call takes effect after `time`, which is
    /// drawn from 0.3 to 1 s if it is not given.
    bool promote(const std::string& name, std::uint64_t fence,
                 std::optional<milliseconds> time = std::nullopt);
    /// Called when another instance leads.
    void set_promotion_listener(std::function<void()> listener) {
        promotion_listener_ = std::move(listener);
    }
    /// Accepted calls that have not taken effect.
    [[nodiscard]] std::size_t pending_promotions() const { return pending_promotions_; }

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t promotions() const { return promotions_; }
    [[nodiscard]] std::size_t statements() const { return statements_; }
    [[nodiscard]] std::size_t repeated() const { return repeated_; }
    /// Callers note here what they send. Thread safety: any thread.
    sent_statements sent;

private:
    struct instance;
    struct acknowledgement {
        log_index index;
        /// The instances that had received the write, with the start of their processes.
        std::map<std::string, std::uint64_t> receivers;
    };
    struct session {
        std::string customer;
        bool open = false;
        bool failed = false;
        bool read_only = false;
        std::uint64_t term = 0;
        std::vector<commit> writes;
        /// Common to the statements of the open transaction; empty before the first of them.
        std::string transaction;
        std::string value;
        std::map<std::string, std::string> prepared;
    };
    struct repeated_answer {
        std::string text;
        /// Requests that arrive before it is sent.
        int requests = 1;
        bool comes_first = false;
    };
    struct answer {
        std::vector<std::string> rows;
        std::string error;
        std::string signature = "-";
    };

    boost::asio::awaitable<void> accept(instance& server);
    boost::asio::awaitable<void> serve(instance& server,
                                       std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    boost::asio::awaitable<answer> run(instance& server, session& caller, std::string id,
                                       std::string text);
    boost::asio::awaitable<answer> run_on_data(instance& server, session& caller, std::string id,
                                               std::string word, std::string rest);
    boost::asio::awaitable<void> take_effect(std::string name, std::uint64_t fence,
                                             milliseconds time);
    void roll_back_replicas(const instance& target);
    void check_promotion(const instance& target);
    /// The logs that have or had the write, and what is the matter with their instances.
    void count_acknowledged(std::size_t writes);
    [[nodiscard]] std::string describe_logs(const std::string& statement,
                                            const acknowledgement& write) const;
    void check_statement(session& caller, const std::string& id, const std::string& text);
    void check_execution(const session& caller, const std::string& id, const std::string& name);
    /// The texts to send before and after the answer to a request that arrives now.
    std::pair<std::string, std::string> take_due(std::vector<repeated_answer>& waiting);
    void plan_repeat(std::vector<repeated_answer>& waiting, const std::string& reply);
    /// Appends the commits and waits until a replica has them; false when the instance does not
    /// lead. Throws when it stays open whether they are kept.
    boost::asio::awaitable<bool> append(instance& server, std::vector<commit> writes);
    answer order(instance& server, const std::string& word, const std::string& term);
    boost::asio::awaitable<void> order_late(instance& server, std::string word, std::string term,
                                            milliseconds delay);
    void begin_transfer(instance& target, std::vector<commit> log, milliseconds length);
    boost::asio::awaitable<void> transfer(instance& target, milliseconds length);
    instance& add(const std::string& name);
    instance& add_successor(instance& old);
    void set_new_start(instance& server);
    void catch_up(instance& server);
    void copy_log(const instance& from, instance& to);
    void observe(const std::string& customer);
    void report(const std::string& fault);
    instance* leader();

    boost::asio::io_context& context_;
    std::map<std::string, std::unique_ptr<instance>> instances_;
    std::map<std::string, time_point> withdrawn_;
    struct limit {
        double rate = 0;
        double burst = 0;
        std::deque<time_point> operations;
    };
    std::map<std::string, limit> limits_;
    /// Writes whose commit an instance has acknowledged and no promotion has lost.
    std::map<std::string, acknowledgement> acknowledged_;
    std::uint64_t last_born_ = 0;
    std::optional<milliseconds> order_delay_;
    std::optional<std::size_t> writes_until_deaf_;
    std::optional<std::string> resumes_held_back_;
    /// Instances to resume, with the start of the process that the RESUME was sent to.
    std::vector<std::pair<std::string, std::uint64_t>> late_resumes_;
    std::mt19937_64 promotion_random_;
    std::function<void()> promotion_listener_;
    std::size_t pending_promotions_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t last_term_ = 1;
    std::size_t promotions_ = 0;
    std::size_t statements_ = 0;
    double repeated_share_ = 0;
    std::mt19937_64 random_;
    std::size_t repeated_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace masticgrade::soak
