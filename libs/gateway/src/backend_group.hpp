#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "gateway_metrics.hpp"
#include "masticgrade/gateway/links.hpp"
#include "masticgrade/gateway/placement.hpp"
#include "masticgrade/gateway/position_proofs.hpp"
#include "masticgrade/gateway/primary_failure_detector.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/gateway/topology.hpp"
#include "masticgrade/gateway/wait_queue.hpp"

namespace masticgrade {

class backend_group;

/// A connection that another host lends to this one. Thread safety: none; one executor.
class remote_connection {
public:
    remote_connection() = default;
    remote_connection(const remote_connection&) = delete;
    remote_connection& operator=(const remote_connection&) = delete;
    virtual ~remote_connection() = default;

    /// The session context that the connection must have from the next run on.
    virtual void set_context(const session_context& session, const prepared_shape* needed) = 0;
    /// As instance_link::run.
    virtual boost::asio::awaitable<std::vector<statement_answer>> run(
        std::vector<backend_request> requests, time_point deadline) = 0;
    [[nodiscard]] virtual bool is_open() const = 0;
    /// Gives the connection back to its host.
    virtual void close() = 0;
};

/// One connection of the pool, or one that another host lends.
struct pooled_connection {
    instance_link_ptr link;
    /// Set instead of `link` when another host lends the connection.
    std::shared_ptr<remote_connection> remote;
    backend_context context;
    instance_id instance;
    customer_id customer;
    /// The instance_state that counts this connection.
    std::uint64_t epoch = 0;
    time_point last_used;
    /// Whether a transaction is open on it.
    bool in_transaction = false;
    /// In a transaction, with no statement under way.
    bool paused = false;

    [[nodiscard]] bool is_open() const { return remote ? remote->is_open() : link->is_open(); }
    void close() {
        if (remote) {
            remote->close();
        } else {
            link->close();
        }
    }
};

/// The use of one backend connection by one operation. Gives the connection back at the end of its
/// life, after a rollback where a transaction is still open.
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
    [[nodiscard]] bool is_open() const { return connection_->is_open(); }

    /// Gives the connection the session's values and the prepared statement, if any.
    /// Throws link_error. Returns the first answer that is not a success, if any.
    boost::asio::awaitable<std::optional<statement_answer>> align(const session_context& session,
                                                                  const prepared_shape* needed,
                                                                  time_point deadline);
    /// Starts a transaction. A success of a plain one proves the group's position.
    boost::asio::awaitable<statement_answer> begin(bool read_only,
                                                   std::optional<log_index> at_least,
                                                   time_point deadline);
    /// Runs one statement of a caller. `proves_position` tells that only the primary can have
    /// answered it with success.
    boost::asio::awaitable<statement_answer> execute(backend_request request, bool is_commit,
                                                     bool proves_position, time_point deadline);
    /// Runs requests as they are: orders to the instance, or those of another host's session.
    /// Throws link_error.
    boost::asio::awaitable<std::vector<statement_answer>> execute_all(
        std::vector<backend_request> requests, time_point deadline);
    /// Closes the connection instead of giving it back.
    void discard();

private:
    boost::asio::awaitable<std::vector<statement_answer>> run(std::vector<backend_request> requests,
                                                              time_point deadline);
    /// As `run`, and tells the group what it shows of the instance.
    boost::asio::awaitable<std::vector<statement_answer>> run_observed(
        std::vector<backend_request> requests, bool is_commit, time_point deadline);
    void record_answer(const statement_answer& answer, bool proves_position, boot_time sent_at);

    std::shared_ptr<backend_group> group_;
    std::unique_ptr<pooled_connection> connection_;
};

struct acquire_request {
    waiter queue_entry;
    /// Instances that have already failed this operation.
    std::set<instance_id> excluded = {};
    /// The position that the instance's log must reach; replicas known to lag behind it are
    /// skipped.
    std::optional<log_index> at_least = {};
    /// Set for another host, to which this one lends a connection to this instance.
    std::optional<instance_id> leased_instance = {};
};

enum class acquire_failure { overloaded, timed_out, lease_unavailable };

/// Which host uses the connections to an instance for all.
struct instance_pool_owner {
    bool is_self = false;
    /// Empty when it is this host, or when no host is known that does.
    host_id host;
};

struct remote_acquire_result {
    std::shared_ptr<remote_connection> connection;
    acquire_failure failure = acquire_failure::lease_unavailable;
};

/// Every commit acknowledged before `moment` is at or below `position`, says `instance`.
struct position_proof {
    instance_id instance;
    boot_time moment;
    log_index position;
};

using acquire_result = std::variant<connection_lease, acquire_failure>;

/// What a group needs from the process.
struct group_environment {
    boost::asio::any_io_executor executor;
    instance_connector& connector;
    gateway_metrics& metrics;
    failure_domain_id own_domain;
    /// Live hosts, this one counted.
    std::function<std::size_t()> live_host_count;
    /// The part of the fleet's operations that this host serves.
    std::function<double()> own_traffic_share;
    /// Asks for an early reading of the instances' entries.
    std::function<void()> refresh_directory;
    std::function<instance_pool_owner(const instance_entry&)> pool_owner_of;
    /// Asks the home for a connection.
    std::function<boost::asio::awaitable<remote_acquire_result>(host_id home, instance_id instance,
                                                                acquire_request request)>
        acquire_remote;
    /// Asks the home of the primary for a proof of the position.
    std::function<boost::asio::awaitable<std::optional<position_proof>>(
        host_id home, customer_id customer, time_point deadline)>
        request_position;
};

/// The instances of one database group as one host sees them: their connections, the operations
/// that wait for one, the current primary and the proofs of its position.
/// Lives as long as the process. Thread safety: none; one executor.
class backend_group : public std::enable_shared_from_this<backend_group> {
public:
    backend_group(group_id name, group_environment environment);
    backend_group(const backend_group&) = delete;
    backend_group& operator=(const backend_group&) = delete;
    ~backend_group();

    void update(const group_settings& settings, const std::vector<instance_entry>& entries,
                const std::set<failure_domain_id>& evacuated);
    /// Closes unused connections and probes the primary. Call every 50 ms or so.
    void tick(time_point now);

    /// Waits for a connection until the request's time runs out.
    boost::asio::awaitable<acquire_result> acquire(acquire_request request);

    /// The lowest position that covers all commits acknowledged before `moment`; asks the primary
    /// when none is known yet. Nothing when there is no proof by the deadline.
    boost::asio::awaitable<std::optional<log_index>> position_at(boot_time moment,
                                                                 const customer_id& customer,
                                                                 time_point deadline);

    /// Whether this host uses the primary's connections for all.
    [[nodiscard]] bool owns_primary_pool() const;

    // ---- what the failover needs ----
    [[nodiscard]] const group_id& name() const { return name_; }
    [[nodiscard]] std::optional<instance_id> primary() const;
    [[nodiscard]] term_number newest_term() const { return newest_term_; }
    /// The highest position that this host saw acknowledged.
    [[nodiscard]] const std::optional<log_index>& acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::vector<instance_entry> entries() const;
    [[nodiscard]] bool is_draining(const instance_id& instance) const;
    [[nodiscard]] bool is_listed(const instance_id& instance) const {
        return instances_.contains(instance);
    }
    /// Whether the instance's own entry says that it is the primary.
    [[nodiscard]] bool claims_primary(const instance_id& instance) const;
    /// Whether an instance of this group was listed in the last 20 s and is not any more.
    [[nodiscard]] bool has_recently_lost_instance(time_point now) const;
    [[nodiscard]] bool primary_is_dead(time_point now) const;
    void set_primary(const instance_id& instance, term_number term, std::string_view reason);
    void on_status(const instance_id& instance, const instance_status& status);
    /// Runs one order on a free connection, or on one of its own. Throws link_error or
    /// refusal_error.
    boost::asio::awaitable<statement_answer> run_control_request(instance_id instance,
                                                                 backend_request request,
                                                                 time_point deadline);

    // ---- what leases need ----
    void on_run_started(pooled_connection& connection);
    void on_run_ended(pooled_connection& connection);
    void release_connection(std::unique_ptr<pooled_connection> connection);
    void on_request_sent(const instance_id& instance, bool is_commit);
    void on_answer(const instance_id& instance, bool is_commit, duration elapsed,
                   const statement_answer& answer);
    void on_no_answer(const instance_id& instance, bool is_commit);
    void add_proof(const instance_id& instance, boot_time sent_at, log_index position);
    void on_acknowledged(log_index position);
    void on_primary_denied(const instance_id& instance);

private:
    struct instance_state {
        instance_entry entry;
        /// Tells this state from a later one under the same id.
        std::uint64_t epoch = 0;
        bool evacuated = false;
        /// Since when it has been leaving or evacuated.
        std::optional<time_point> unwanted_since;
        std::list<std::unique_ptr<pooled_connection>> idle;
        /// All connections: idle, in use and being opened.
        unsigned open = 0;
        unsigned outstanding = 0;
        /// Connections of this host in use whose transaction pauses.
        unsigned paused = 0;
        microseconds service_time{0};
        microseconds queue_time{0};
        time_point connect_after{};
        /// The end of its log when it last answered.
        std::optional<log_index> position;
        time_point position_at{};
        /// It said that it is not the primary.
        time_point denied_until{};
        /// No new connection above the kept ones until then, since the instance has too many.
        time_point full_until{};
        unsigned failures = 0;
        /// Connections given back since `releases_counted`.
        unsigned releases = 0;
        time_point releases_counted{};
        /// Measured while operations waited all the time; 0 when they did not.
        double releases_per_second = 0;
        bool always_waited = false;
    };
    struct pending;
    struct assignment {
        instance_id instance;
        std::uint64_t epoch = 0;
        /// The host that lends the connection; empty for a connection of this host.
        host_id home;
        /// Null when a connection has to be opened.
        std::unique_ptr<pooled_connection> connection;
    };

    std::optional<assignment> assign(const acquire_request& request, bool only_free_connections,
                                     time_point now);
    [[nodiscard]] placement_candidate describe(const instance_state& instance,
                                               const instance_pool_owner& home,
                                               const customer_id& customer, time_point now) const;
    [[nodiscard]] bool may_serve(const instance_state& instance, const acquire_request& request,
                                 time_point now) const;
    [[nodiscard]] static bool lags_behind(const instance_state& instance, log_index needed,
                                          time_point now);
    [[nodiscard]] pool_limits share(const instance_pool_owner& home) const;
    /// Asks the home for the assigned connection. A result without a connection and without a
    /// failure means that the operation should look for another one.
    boost::asio::awaitable<std::unique_ptr<pooled_connection>> borrow(
        const assignment& given, const acquire_request& request, acquire_failure& failure);
    void try_waiting(bool only_free_connections, time_point now);
    void pump();
    /// Statements that the instances can be expected to end in a second.
    [[nodiscard]] double expected_releases(const waiter& order) const;
    void measure_releases(instance_state& instance, time_point now);
    boost::asio::awaitable<std::unique_ptr<pooled_connection>> open(instance_id instance,
                                                                    std::uint64_t epoch,
                                                                    customer_id customer,
                                                                    time_point deadline);
    void on_connect_failed(const instance_id& instance, std::uint64_t epoch,
                           std::optional<answer_code> code);
    instance_state* find_state(const instance_id& instance, std::uint64_t epoch);
    void end_use(const customer_id& customer);
    boost::asio::awaitable<void> roll_back(std::unique_ptr<pooled_connection> connection);
    boost::asio::awaitable<void> probe(endpoint_address address, instance_id instance);
    boost::asio::awaitable<void> refresh_position(customer_id customer);
    /// Starts a transaction at the primary, whose answer is a proof.
    boost::asio::awaitable<void> prove_position(customer_id customer, time_point deadline);
    void close(std::unique_ptr<pooled_connection> connection);
    void trim_idle(instance_state& instance, time_point now);
    void choose_primary(time_point now);
    void remove_missing(const std::set<instance_id>& listed, time_point now);

    group_id name_;
    group_environment environment_;
    group_settings settings_;
    std::map<instance_id, instance_state> instances_;
    std::uint64_t last_epoch_ = 0;
    std::map<instance_id, time_point> lost_instances_;
    std::optional<instance_id> primary_;
    time_point primary_since_{};
    term_number newest_term_;
    std::optional<log_index> acknowledged_;
    position_proofs proofs_;
    primary_failure_detector watch_;
    bool probing_ = false;
    bool refreshing_position_ = false;
    time_point last_position_use_{};
    customer_id last_customer_;
    /// Smoothed time to open a connection.
    microseconds setup_time_{20000};
    wait_queue queue_;
    std::map<waiter_number, pending*> waiting_;
    std::map<customer_id, unsigned> under_way_;
};

}  // namespace masticgrade
