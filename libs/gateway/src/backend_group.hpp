#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "gateway_metrics.hpp"
#include "lease_messages.hpp"
#include "masticgrade/gateway/acknowledged_positions.hpp"
#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/gateway/leadership_evidence.hpp"
#include "masticgrade/gateway/placement.hpp"
#include "masticgrade/gateway/position_proofs.hpp"
#include "masticgrade/gateway/primary_failure_detector.hpp"
#include "masticgrade/gateway/replica_positions.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/gateway/topology.hpp"
#include "masticgrade/gateway/wait_queue.hpp"
#include "masticgrade/pacing/instance_pace.hpp"
#include "masticgrade/pacing/warmup_limiter.hpp"

namespace masticgrade {

class backend_group;

/// A connection leased from the pool of another host. Thread safety: none; one executor.
class remote_connection {
public:
    remote_connection() = default;
    remote_connection(const remote_connection&) = delete;
    remote_connection& operator=(const remote_connection&) = delete;
    virtual ~remote_connection() = default;

    /// Sets the session context that the next run requires.
    virtual void set_context(const session_context& session, const prepared_statement* needed) = 0;
    /// See instance_connection::run.
    virtual boost::asio::awaitable<std::vector<statement_answer>> run(
        std::vector<backend_request> requests, time_point deadline) = 0;
    [[nodiscard]] virtual bool is_open() const = 0;
    /// Returns the connection to the pool owner.
    virtual void close() = 0;
};

/// A connection of the local pool, or one leased from another host.
struct pooled_connection {
    instance_connection_ptr link;
    /// Set instead of `link` if the connection is leased.
    std::shared_ptr<remote_connection> remote;
    backend_context context;
    instance_id instance;
    customer_id customer;
    /// The generation of the instance_state that counts this connection.
    std::uint64_t generation = 0;
    time_point opened_at{};
    time_point last_used;
    /// A transaction is open.
    bool in_transaction = false;
    /// The operation that uses the connection needs the primary.
    bool needs_primary = false;
    /// A transaction is open and no statement is in flight.
    bool idle_in_transaction = false;

    [[nodiscard]] bool is_open() const { return remote ? remote->is_open() : link->is_open(); }
    void close() {
        if (remote) {
            remote->close();
        } else {
            link->close();
        }
    }
};

/// Exclusive use of a backend connection by one operation. The destructor returns the connection
/// to its pool, after rolling back an open transaction.
class connection_lease {
public:
    connection_lease(std::shared_ptr<backend_group> group,
                     std::unique_ptr<pooled_connection> connection);
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    connection_lease(connection_lease&&) noexcept = default;
    connection_lease& operator=(connection_lease&&) = delete;
    ~connection_lease();

    [[nodiscard]] const instance_id& instance() const { return connection_->instance; }
    /// The customer that the instance was told when the connection was opened.
    [[nodiscard]] const customer_id& customer() const { return connection_->customer; }
    [[nodiscard]] bool is_open() const { return connection_->is_open(); }

    /// Sets the session's values and prepares the statement, if any, where the connection differs.
    /// Returns the first answer that is not a success, if any. Throws connection_error.
    boost::asio::awaitable<std::optional<statement_answer>> apply_context(
        const session_context& session, const prepared_statement* needed, time_point deadline);
    /// Starts a transaction. Success of a read-write transaction proves the group's log position,
    /// since only the primary starts one.
    boost::asio::awaitable<statement_answer> begin(bool read_only,
                                                   std::optional<log_index> at_least,
                                                   time_point deadline);
    /// Runs a caller's statement. Set `proves_position` if only the primary can answer it with
    /// success.
    boost::asio::awaitable<statement_answer> execute(backend_request request, bool is_commit,
                                                     bool proves_position, time_point deadline);
    /// Runs requests unchanged: control requests, or the requests of a session on another host.
    /// Throws connection_error.
    boost::asio::awaitable<std::vector<statement_answer>> execute_all(
        std::vector<backend_request> requests, time_point deadline);
    /// Closes the connection, so that it is not returned to the pool.
    void discard();

private:
    boost::asio::awaitable<std::vector<statement_answer>> run(std::vector<backend_request> requests,
                                                              time_point deadline);
    /// Throws connection_error if the operation needs the primary and the instance is not known to
    /// lead its group. Statements of an open transaction are allowed, except its commit.
    void check_leadership(bool is_commit);
    /// Throws connection_error if the instance that has acknowledged a write is not known to lead
    /// its group now. A promotion may have chosen a log without the write: the promoting host only
    /// waits until no host relies on the old primary, not for statements that are under way.
    void check_acknowledgement(const statement_answer& answer, boot_time sent_at) const;
    /// As `run`, and reports the outcome to the group.
    boost::asio::awaitable<std::vector<statement_answer>> run_observed(
        std::vector<backend_request> requests, bool is_commit, time_point deadline);
    void record_answer(const statement_answer& answer, bool proves_position, boot_time sent_at);

    std::shared_ptr<backend_group> group_;
    std::unique_ptr<pooled_connection> connection_;
};

struct acquire_request {
    waiter queue_entry;
    /// Instances on which this operation has already failed.
    std::set<instance_id> excluded = {};
    /// The minimum position of the instance's log; replicas known to be behind it are skipped.
    std::optional<log_index> at_least = {};
    /// Set if the connection is to be leased to another host: the instance that it asked for.
    std::optional<instance_id> leased_instance = {};
    /// The operation runs no statement of a caller, so that the warm-up limit doesn't apply.
    bool sends_no_statement = false;
};

enum class acquire_failure { overloaded, timed_out, lease_unavailable };

/// The host that owns the connection pool of an instance.
struct instance_pool_owner {
    bool is_self = false;
    /// Empty if this host is the owner, or if there is no known owner.
    host_id host;
};

struct remote_acquire_result {
    std::shared_ptr<remote_connection> connection;
    acquire_failure failure = acquire_failure::lease_unavailable;
};

/// Every commit acknowledged before `moment` is at or below `position`, as proven by `instance`.
struct position_proof {
    instance_id instance;
    boot_time moment;
    log_index position;
};

using acquire_result = std::variant<connection_lease, acquire_failure>;

/// Services that the process provides to a group.
struct group_environment {
    boost::asio::any_io_executor executor;
    instance_connector& connector;
    gateway_metrics& metrics;
    failure_domain_id own_domain;
    /// Number of live hosts, including this one.
    std::function<std::size_t()> live_host_count;
    /// See usage_limiter::local_load_fraction.
    std::function<double()> local_load_fraction;
    /// Requests an early refresh of the instance directory.
    std::function<void()> refresh_directory;
    std::function<instance_pool_owner(const instance_entry&)> pool_owner_of;
    /// Leases a connection from the pool owner.
    std::function<boost::asio::awaitable<remote_acquire_result>(host_id owner, instance_id instance,
                                                                acquire_request request)>
        acquire_remote;
    /// Queries the owner of the primary's pool for a proof of the group's position.
    std::function<boost::asio::awaitable<std::optional<position_proof>>(
        host_id owner, customer_id customer, time_point deadline)>
        query_position;
    /// Whether another host currently supplies the position proofs, so that they are only queried
    /// when a read finds none.
    std::function<bool()> positions_are_relayed = [] { return false; };
    /// Whether to limit the concurrent statements on instances that have started, recovered or
    /// been promoted.
    bool paces_instances = false;
    /// Number of live hosts that come before this one in an order of their own for each instance.
    std::function<std::size_t(const instance_id&)> host_rank = [](const instance_id&) {
        return std::size_t{0};
    };
};

/// This host's state of one database group: its instances and their connection pools, the
/// operations that wait for a connection, the current primary and its position proofs.
/// Lives as long as the process. Thread safety: none; one executor.
class backend_group : public std::enable_shared_from_this<backend_group> {
public:
    backend_group(group_id name, group_environment environment);
    backend_group(const backend_group&) = delete;
    backend_group& operator=(const backend_group&) = delete;
    ~backend_group();

    void update(const group_settings& settings, const std::vector<instance_entry>& entries,
                const std::set<failure_domain_id>& evacuated);
    /// Closes surplus idle connections and probes the primary. Call about every 50 ms.
    void tick(time_point now);

    /// Waits for a connection until the deadline of the queue entry.
    boost::asio::awaitable<acquire_result> acquire(acquire_request request);

    /// The lowest known position at or above every commit acknowledged before `moment`. Queries the
    /// primary if none is known; returns nullopt if there is no proof by the deadline.
    boost::asio::awaitable<std::optional<log_index>> position_at(boot_time moment,
                                                                 const customer_id& customer,
                                                                 time_point deadline);

    /// The customer whose reads have needed position proofs lately, if any.
    [[nodiscard]] std::optional<customer_id> position_customer(time_point now) const;
    /// Keeps the proofs fresh for another host, as if a read of the customer had needed one.
    void keep_position_fresh(const customer_id& customer);
    /// The newest position proof, if any.
    [[nodiscard]] std::optional<position_proof> newest_proof() const;
    /// Whether this host owns the connection pool of the primary.
    [[nodiscard]] bool owns_primary_pool() const;

    // ---- Evidence of leadership ----
    /// Applies the group's failover row, empty if there is none, from a read sent at `read_at` and
    /// answered in the store's era `era`.
    void on_failover_row(const std::optional<failover_record>& row, boot_time read_at,
                         store_era era = {});
    /// Stops using the primary, since another host has acquired the failover lock with this fence.
    void on_failover_begun(std::uint64_t fence);
    /// Whether the instance may be used as the primary now.
    [[nodiscard]] bool may_lead(const instance_id& instance, boot_time now) const;
    /// Whether no primary may be used because the failover row was not read recently.
    [[nodiscard]] bool leadership_is_unproven(boot_time now) const {
        return leadership_.is_expired(now);
    }
    /// Whether no primary could be used for longer than a failover takes. Operations that need one
    /// are then refused without a wait.
    [[nodiscard]] bool lacks_primary(time_point now) const;
    /// The outcome of the group's failovers that this host knows.
    [[nodiscard]] const failover_record& last_failover() const { return leadership_.record(); }
    /// The newest era of the store in which it was read.
    [[nodiscard]] store_era failover_row_era() const { return failover_row_era_; }
    /// Whether a restore of the store has lost that outcome.
    [[nodiscard]] bool last_failover_is_lost() const { return leadership_.is_lost(); }

    // ---- Used by group_failover ----
    [[nodiscard]] const group_id& name() const { return name_; }
    [[nodiscard]] std::optional<instance_id> primary() const;
    [[nodiscard]] term_number newest_term() const { return newest_term_; }
    /// What this process has acknowledged, or nullopt if that is unknown.
    [[nodiscard]] std::optional<acknowledged_bounds> acknowledged() const {
        return acknowledgements_.bounds();
    }
    /// The lowest known position at or above every commit acknowledged before `moment`, if any.
    [[nodiscard]] std::optional<log_index> proven_position(boot_time moment) const {
        return proofs_.covering(moment);
    }
    /// See replica_positions.
    [[nodiscard]] const std::map<instance_id, log_index>& replica_positions_seen() const {
        return replica_positions_.positions();
    }
    /// The log of an instance was seen to end at `position`.
    void on_log_seen(const instance_id& instance, log_index position);
    /// The instances that may have led the group since the last recorded promotion.
    [[nodiscard]] std::set<instance_id> recent_primaries() const;
    /// As `newest_proof`, also while the group has no primary.
    [[nodiscard]] std::optional<dated_position> newest_proven_position() const;
    [[nodiscard]] std::vector<instance_entry> entries() const;
    [[nodiscard]] bool has_entries() const { return !instances_.empty(); }
    /// Whether an instance is listed that is not the primary.
    [[nodiscard]] bool lists_others_than_primary() const;
    /// The listed process of the primary, if there is one.
    [[nodiscard]] std::optional<log_holder> primary_process() const;
    [[nodiscard]] bool is_draining(const instance_id& instance) const;
    [[nodiscard]] bool is_listed(const instance_id& instance) const {
        return instances_.contains(instance);
    }
    /// Whether the directory lists exactly this process.
    [[nodiscard]] bool is_listed(const log_holder& holder) const;
    /// Whether a listed instance shows that the process has ended, see `is_successor`.
    [[nodiscard]] bool has_ended(const log_holder& holder) const;
    /// The listed process that is the holder's, if it has not ended. Its address may have changed.
    [[nodiscard]] std::optional<log_holder> present_process(const log_holder& holder) const;
    /// The listed process that has the log of the holder, which has ended: an instance that takes
    /// over another one's address takes over its log. Returns nullopt if there is none, or if an
    /// instance there has started again under its id, which loses the log.
    [[nodiscard]] std::optional<log_holder> heir_of(const log_holder& holder) const;
    /// Whether the process may lack the log of an earlier one that had its id.
    [[nodiscard]] bool has_earlier_process(const log_holder& process) const;
    /// Whether the instance's directory entry claims that it is the primary.
    [[nodiscard]] bool claims_primary(const instance_id& instance) const;
    /// Whether the recorded log holders are the listed instances.
    [[nodiscard]] bool log_holders_are_recorded() const;
    /// The recorded log holders, the listed instances, and the processes that disappeared from the
    /// directory before they were recorded.
    [[nodiscard]] std::set<log_holder> log_holders() const;
    /// The log holders that the directory does not list.
    [[nodiscard]] std::set<log_holder> unlisted_log_holders() const;
    /// The processes need not be recorded any more. Precondition: other log holders have all of
    /// their acknowledged commits.
    void forget_log_holders(const std::set<log_holder>& ended);
    /// The instances that have disappeared from the directory on this host in the last 20 s and
    /// have no successor.
    [[nodiscard]] std::set<log_holder> lost_instances(time_point now) const;
    [[nodiscard]] bool primary_is_dead(time_point now) const;
    /// See group_settings.
    [[nodiscard]] unsigned sync_replicas() const { return settings_.sync_replicas; }
    void set_primary(const instance_id& instance, term_number term, std::string_view reason);
    /// Answers another host that finds the instance dead.
    [[nodiscard]] primary_reply report_primary(const instance_id& instance) const;
    /// Another host has just received answers from the instance.
    void on_primary_reported_alive(const instance_id& instance);
    /// The instance has answered an order, if only with a refusal.
    void on_order_refused(const instance_id& instance);
    /// `seen_before` is the highest position of the instance's log that was known when the status
    /// was requested.
    void on_status(const instance_id& instance, const instance_status& status,
                   std::optional<log_index> seen_before = {});
    /// The primary has answered a commit at a position below one that was seen before.
    void on_position_fell(const instance_id& instance, log_index position);
    /// See leadership_evidence.
    [[nodiscard]] bool has_lost_log(const instance_id& instance) const;
    /// Whether the listed process started after the one that was promoted last under this id.
    [[nodiscard]] bool started_after_promotion(const instance_id& instance) const {
        return leadership_.is_later_process(claimant_of(instance));
    }
    /// Whether the primary has to report the end of its log, see leadership_evidence.
    [[nodiscard]] bool primary_is_unconfirmed() const;
    /// Whether a log that ends there lacks entries of the instance that was promoted last, although
    /// it has later ones.
    [[nodiscard]] bool lacks_recorded_log(log_index received) const {
        return received.term > last_failover().target_position.term &&
               leadership_.is_below_record(received.term, received);
    }
    /// The end of the log that the listed process has reported as the primary, if it has.
    [[nodiscard]] std::optional<log_index> reported_end(const instance_id& instance) const;
    /// Runs a control request on an idle connection, or on a new one if there is none.
    /// Throws connection_error or connection_refused_error.
    boost::asio::awaitable<statement_answer> run_control_request(instance_id instance,
                                                                 backend_request request,
                                                                 time_point deadline);

    // ---- Used by connection_lease ----
    void on_run_started(pooled_connection& connection);
    void on_run_ended(pooled_connection& connection);
    void release_connection(std::unique_ptr<pooled_connection> connection);
    void on_request_sent(const instance_id& instance, bool is_commit);
    void on_answer(const instance_id& instance, bool is_commit, duration elapsed,
                   const statement_answer& answer);
    void on_no_answer(const instance_id& instance, bool is_commit);
    /// The instance answered, but not in a way that could be matched with the requests.
    void on_answer_mismatch(const instance_id& instance);
    /// A connection of the local pool was lost before it answered a request sent at `sent_at`.
    void on_connection_lost(const pooled_connection& connection, time_point sent_at);
    /// Whether the operators' warm-up limit applies to the instance.
    [[nodiscard]] bool is_warming_up(const instance_id& instance) const;
    /// Waits until the operators' warm-up limit admits the statements on a connection of the local
    /// pool, in the order of the calls for an instance. Throws warmup_limit_error if that would
    /// take too long.
    boost::asio::awaitable<void> await_warmup(instance_id instance, std::size_t statements,
                                              time_point deadline);
    void add_proof(const instance_id& instance, boot_time sent_at, log_index position);
    /// The highest position of the instance's log that this host has seen, if any.
    [[nodiscard]] std::optional<log_index> highest_position(const instance_id& instance) const;
    /// See acknowledgement_history.
    void on_commit_answered(std::optional<log_index> position);
    void on_acknowledged(log_index position, std::optional<log_index> seen_before = {});
    void on_primary_denied(const instance_id& instance);

    /// Number of instances whose concurrent statements are limited.
    [[nodiscard]] std::size_t paced_instances(time_point now) const;

private:
    /// Who sends statements to an instance.
    enum class sender { unknown, other_host, every_host, this_host };
    struct warmup_state {
        warmup_limiter limiter;
        sender last_sender = sender::unknown;
        /// This host's part of the rate.
        std::optional<double> share;
        /// Set while a larger share is delayed.
        std::optional<time_point> share_grows_at;
        /// Runs that wait for the limit, in the order in which they are admitted.
        std::deque<std::uint64_t> waiting;
    };
    struct instance_state {
        instance_entry entry;
        /// Distinguishes this state from a later one with the same id.
        std::uint64_t generation = 0;
        bool evacuated = false;
        /// Since when the instance has been shutting down or evacuated.
        std::optional<time_point> draining_since;
        std::list<std::unique_ptr<pooled_connection>> idle;
        /// Number of connections: idle, in use and being opened.
        unsigned open = 0;
        unsigned outstanding = 0;
        /// Number of this host's connections in use that are idle in a transaction.
        unsigned idle_in_transaction = 0;
        microseconds service_time{0};
        microseconds queue_time{0};
        time_point connect_after{};
        /// The end of the instance's log as of its last answer.
        std::optional<log_index> position;
        time_point position_at{};
        std::optional<log_index> highest_position;
        /// The highest number in the answers since the last connection that found a lower one.
        log_position highest_number;
        /// See leadership_evidence::claimant.
        std::optional<log_index> reported_end;
        bool may_have_restarted = false;
        bool position_fell = false;
        /// The highest term that the instance has reported.
        term_number log_term;
        /// The instance has denied being the primary; its directory entry is ignored until then.
        time_point denied_until{};
        /// The instance has reached its connection limit; until then the pool doesn't grow beyond
        /// its core size.
        time_point connection_limit_until{};
        unsigned failures = 0;
        /// Number of connections released since `release_count_start`.
        unsigned releases = 0;
        time_point release_count_start{};
        /// Measured only over periods in which operations were always waiting; 0 if unknown.
        double releases_per_second = 0;
        bool had_waiters_throughout = false;
        time_point restarted_at{};
        instance_pace pace;
        time_point warmup_until{};
        /// Set while the operators' warm-up limit applies.
        std::optional<warmup_state> warmup;
    };
    struct pending_acquire;
    struct assignment {
        instance_id instance;
        std::uint64_t generation = 0;
        /// The pool owner that leases the connection; empty for the local pool.
        host_id pool_owner;
        /// Null if a connection has to be opened.
        std::unique_ptr<pooled_connection> connection;
    };

    // ---- Pace of instances, see docs/design/instance-pace.md ----
    /// Applies a directory entry that is `new_start` if the instance has started while this host
    /// was running. Call before the entry is stored.
    void pace_entry(instance_state& instance, const instance_entry& entry, bool new_start,
                    time_point now);
    /// Whether the instance has started since this host first read the directory.
    [[nodiscard]] bool is_new_start(const instance_entry& entry) const;
    void start_pace(instance_state& instance, std::string_view cause, time_point now);
    void pace_answer(instance_state& instance, const statement_answer& answer, duration elapsed,
                     time_point now);
    void pace_failure(instance_state& instance, instance_pace::failure kind, time_point sent_at,
                      time_point now);
    void pace_tick(instance_state& instance, time_point now);
    void log_pace_start(const instance_state& instance, std::string_view cause) const;
    void log_pace_end(const instance_state& instance, std::string_view reason) const;
    /// The shortest statement time of the group's other instances, if known.
    [[nodiscard]] std::optional<duration> usual_time(const instance_id& except,
                                                     time_point now) const;
    /// Configures the instance's warm-up limit for this host's part of the rate.
    /// Precondition: the limit is set.
    void update_warmup_share(instance_state& instance, const instance_entry& entry, time_point now);
    /// Whether the operators' warm-up limit admits one more operation.
    bool warmup_admits(instance_state& instance, const instance_pool_owner& owner, time_point now);

    std::optional<assignment> assign(const acquire_request& request, bool only_free_connections,
                                     time_point now);
    /// Marks the instances that the customer's reads avoid.
    void mark_avoided(std::vector<placement_candidate>& candidates,
                      const customer_id& customer) const;
    /// Removes the idle connection that makes room for another customer's.
    /// Precondition: there is an idle connection.
    static std::unique_ptr<pooled_connection> take_connection_to_close(instance_state& instance);
    [[nodiscard]] placement_candidate make_candidate(const instance_state& instance,
                                                     const instance_pool_owner& owner,
                                                     const customer_id& customer,
                                                     time_point now) const;
    [[nodiscard]] bool is_eligible(const instance_state& instance, const acquire_request& request,
                                   time_point now) const;
    [[nodiscard]] static bool lags_behind(const instance_state& instance, log_index needed,
                                          time_point now);
    /// The most statements that this host keeps in flight on an instance without a pool owner of
    /// another host.
    [[nodiscard]] static unsigned max_in_flight(const instance_state& instance);
    [[nodiscard]] pool_limits limits_for(const instance_pool_owner& owner) const;
    /// Leases the assigned connection from the pool owner. If this returns null and leaves
    /// `failure` at `lease_unavailable`, the operation should be assigned again.
    boost::asio::awaitable<std::unique_ptr<pooled_connection>> acquire_remote(
        const assignment& assigned, const acquire_request& request, acquire_failure& failure);
    void assign_waiting(bool only_free_connections, time_point now);
    void dispatch_waiting();
    /// Expected number of connections released per second by the instances that suit the waiter.
    [[nodiscard]] double expected_release_rate(const waiter& queue_entry) const;
    void measure_release_rate(instance_state& instance, time_point now);
    boost::asio::awaitable<std::unique_ptr<pooled_connection>> open(instance_id instance,
                                                                    std::uint64_t generation,
                                                                    customer_id customer,
                                                                    time_point deadline);
    /// A new connection has found this position, and `known` was the highest number before. A lower
    /// one may be that of a process that has started again without its log.
    void check_restart(const instance_id& instance, std::optional<log_index> found,
                       log_position known);
    /// Checks the log of an instance that reports that it is the primary.
    void check_reported_log(const instance_id& instance, instance_state& state,
                            const instance_status& status, std::optional<log_index> seen_before);
    void on_connect_failed(const instance_id& instance, std::uint64_t generation,
                           time_point started, std::optional<answer_code> code);
    instance_state* find_state(const instance_id& instance, std::uint64_t generation);
    void end_operation(const customer_id& customer);
    boost::asio::awaitable<void> roll_back(std::unique_ptr<pooled_connection> connection);
    boost::asio::awaitable<void> probe(endpoint_address address, instance_id instance);
    boost::asio::awaitable<void> refresh_position(customer_id customer);
    /// Starts a transaction on the primary, whose answer is a position proof.
    boost::asio::awaitable<void> prove_position(customer_id customer, time_point deadline);
    void close(std::unique_ptr<pooled_connection> connection);
    void trim_idle(instance_state& instance, time_point now);
    void update_primary(time_point now);
    [[nodiscard]] bool has_usable_primary(time_point now) const;
    [[nodiscard]] leadership_evidence::claimant claimant_of(const instance_id& instance) const;
    [[nodiscard]] bool promoted_instance_is_listed() const;
    void remove_missing(const std::set<instance_id>& listed, time_point now);
    /// Keeps the process among the log holders until it is recorded.
    void keep_log_holder(const log_holder& holder);

    group_id name_;
    group_environment environment_;
    group_settings settings_;
    std::map<instance_id, instance_state> instances_;
    std::uint64_t last_generation_ = 0;
    struct lost_instance {
        time_point lost_at;
        endpoint_address address;
        std::int64_t start_time = 0;
    };
    std::map<instance_id, lost_instance> lost_instances_;
    /// Log holders that are not listed and not in the failover row.
    std::set<log_holder> unrecorded_log_holders_;
    /// Era of the store in which the last failover was recorded.
    store_era failover_row_era_;
    /// Distinguishes the runs in `warmup_state::waiting`.
    std::uint64_t last_warmup_ticket_ = 0;
    std::optional<instance_id> primary_;
    /// The primary, also after it was lost, until there is another one.
    std::optional<instance_id> last_primary_;
    time_point primary_since_{};
    term_number newest_term_;
    acknowledgement_history acknowledgements_;
    replica_positions replica_positions_;
    /// The highest positions of the instances' logs that were seen before their entries were gone.
    replica_positions unlisted_positions_;
    /// The instances that were the primary on this host since the last recorded promotion.
    std::set<instance_id> recent_primaries_;
    position_proofs proofs_;
    leadership_evidence leadership_;
    primary_failure_detector failure_detector_;
    std::optional<time_point> primary_unusable_since_;
    bool probe_in_progress_ = false;
    bool position_refresh_in_progress_ = false;
    time_point last_position_use_{};
    customer_id last_customer_;
    /// Moving average of the time to open a connection.
    microseconds connection_setup_time_{20000};
    wait_queue queue_;
    std::map<waiter_number, pending_acquire*> waiting_;
    std::map<customer_id, unsigned> in_flight_;
};

}  // namespace masticgrade
