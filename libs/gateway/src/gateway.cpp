#include "masticgrade/gateway/gateway.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

#include "backend_group.hpp"
#include "caller_session.hpp"
#include "control_state.hpp"
#include "entry_history.hpp"
#include "failover_row.hpp"
#include "gateway_metrics.hpp"
#include "group_failover.hpp"
#include "host_registry.hpp"
#include "idle_position_prover.hpp"
#include "instance_directory.hpp"
#include "lease_service.hpp"
#include "log_holder_registry.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
#include "masticgrade/peer/peer_network.hpp"
#include "masticgrade/rows/shared_rows.hpp"
#include "pool_owner_selector.hpp"
#include "report_exchange.hpp"
#include "stop_schedule.hpp"
#include "usage_accounting.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_interval{50};
/// Interval between reads of the operators' rows, which must take effect within 3 s of a change.
constexpr milliseconds control_interval{800};
constexpr milliseconds control_retry_interval{300};
/// Hosts that read through a relay read more often, since the relay's rows are up to a second old.
/// An answer without changes is small.
constexpr milliseconds relayed_read_interval{250};
/// Older rows from another host are rejected. They pass through the first relay of the failure
/// domain, which asks the host that reads the store.
constexpr milliseconds max_relayed_age{1600};
constexpr milliseconds max_relayed_host_list_age{15000};
/// Interval between reads of the failover rows, and between retries after a failed read.
constexpr milliseconds failover_read_interval{800};
constexpr milliseconds relayed_failover_read_interval{500};
constexpr milliseconds failover_retry_interval{200};
constexpr milliseconds registration_poll_interval{20};
/// Time that a relay is given to read a changed failover row before other hosts ask it.
constexpr milliseconds relay_read_delay{15};
/// Time in which a host confirms that a failover has begun.
constexpr milliseconds announcement_timeout{250};
/// Hosts that are asked whether they reach a primary, besides the owner of its connection pool.
constexpr std::size_t hosts_asked_about_primary = 4;
/// Interval between queries of position proofs from a relay. Routes allow a staleness of at least
/// one second; relays refresh their proofs when they are 350 ms old.
constexpr milliseconds relayed_position_interval{300};
/// In smaller fleets hosts query the pool owners.
constexpr std::size_t min_hosts_for_relayed_positions = 24;
/// Used while a group requests a refresh, as after the loss of its primary.
constexpr milliseconds fast_directory_interval{150};
constexpr milliseconds read_timeout{700};
constexpr milliseconds host_list_interval{10000};
/// Used while this host is not registered, or has received reports of an unregistered host.
constexpr milliseconds fast_host_list_interval{1000};
/// Limit of concurrent calls from one other host, waiting for a connection or running.
constexpr std::size_t max_concurrent_peer_calls = 2048;
/// Time until a task that ended with an unexpected error is started again.
constexpr milliseconds task_restart_delay{100};

}  // namespace

namespace {

/// Hosts that have not confirmed an announcement yet; the timer ends the wait for them.
struct pending_confirmations {
    std::size_t missing;
    asio::steady_timer timer;
};

}  // namespace

class gateway::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::any_io_executor executor, gateway_settings settings,
                   gateway_services services)
        : executor_(std::move(executor)),
          settings_(std::move(settings)),
          services_(services),
          incarnation_(std::random_device{}()),
          started_(boot_clock::now()),
          limiter_(started_, incarnation_.value()),
          hosts_(services.store, settings_.host,
                 registered_host{settings_.peer_address, settings_.failure_domain,
                                 settings_.link_mbps}),
          rows_(
              services.store, [this] { return reports_->rows(); },
              [this](host_id host, row_query query, time_point deadline) {
                  return leases_->query_rows(std::move(host), std::move(query), deadline);
              }),
          sessions_environment_{executor_, control_, limiter_, metrics_,
                                [this](const group_id& name) { return find_group(name); }} {
        peer::network_options options;
        options.listen = settings_.peer_address;
        options.sender = settings_.host;
        options.seed = incarnation_.value();
        options.handlers_per_connection = max_concurrent_peer_calls;
        options.queue_limit = max_concurrent_peer_calls;
        peers_ = std::make_unique<peer::peer_network>(
            executor_, std::move(options),
            [this](peer::envelope message) { return on_peer_message(std::move(message)); });
        peers_->set_identity(incarnation_, {});
        lease_environment leases{
            executor_,
            *peers_,
            [this](const group_id& name) { return find_group(name); },
            [this](const host_id& host) { return address_of(host); },
            [this] { return is_ready(); },
            [this](const row_query& query) { return rows_.answer(query, boot_clock::now()); },
            [this] { return uptime(); },
            [this] { refresh_failovers(); },
            incarnation_};
        if (settings_.usage) {
            leases.receive_usage = [this](const host_id& host, incarnation_number incarnation,
                                          const usage_update& update) {
                return usage_->receive(host, incarnation, update);
            };
        }
        leases_ = std::make_shared<lease_service>(std::move(leases));
        reports_ = std::make_unique<report_exchange>(
            reporting_host{settings_.host, incarnation_, settings_.failure_domain,
                           settings_.link_mbps},
            limiter_, hosts_, *peers_, [this] { return is_ready(); });
        pool_owners_ = std::make_unique<pool_owner_selector>(
            pool_owner_candidate{settings_.host, settings_.failure_domain, settings_.link_mbps},
            limiter_, hosts_, *leases_, [this] { return is_ready(); });
        if (settings_.usage) {
            create_usage_accounting();
        }
    }

    void start() {
        spawn("control", [this] { return control_loop(); });
        spawn("directory", [this] { return directory_loop(); });
        spawn("host_list", [this] { return host_list_loop(); });
        spawn("failover_rows", [this] { return failover_row_loop(); });
        spawn("positions", [this] { return position_loop(); });
        spawn("reports", [this] { return reports_->run(executor_); });
        spawn("tick", [this] { return tick_loop(); });
        if (usage_) {
            spawn("usage_exchange", [this] { return usage_->run_exchange(); });
            spawn("usage_reports", [this] { return usage_->run_reports(); });
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<caller_connection> link) {
        const auto self = shared_from_this();
        auto session = std::make_shared<caller_session>(std::move(link), sessions_environment_);
        sessions_.insert(session);
        const scope_guard leave{[&] { sessions_.erase(session); }};
        co_await session->run();
    }

    bool is_ready() const {
        return !stopping_ && control_.configuration() != nullptr && directory_.is_loaded() &&
               failover_rows_ &&
               control_.is_current(boot_clock::now(), control_state::readiness_max_age);
    }

    asio::awaitable<void> stop(std::function<void()> close_listener) {
        const auto self = shared_from_this();
        stopping_ = true;
        const stop_schedule schedule{steady_clock::now(), settings_.stop_grace};
        event_line{"stopping"}.field("sessions", sessions_.size()).write();
        // Makes the other hosts select another pool owner before their next operation.
        reports_->send(false);
        for (auto& [name, failover] : failovers_) {
            failover->stop();
        }
        sessions_environment_.serve_until = schedule.answer_deadline();
        while (steady_clock::now() < schedule.deadline()) {
            const auto now = steady_clock::now();
            if (schedule.closes_sessions(now)) {
                end_sessions(schedule.refuses_work(now));
            }
            const bool finished = schedule.closes_sessions(now) && is_finished();
            if (!sessions_environment_.refuses_work && (finished || schedule.refuses_work(now))) {
                // Sessions that are accepted on this occasion start before the next check.
                sessions_environment_.refuses_work = true;
                close_listener();
            } else if (finished) {
                break;
            }
            co_await sleep(tick_interval);
        }
        if (!std::exchange(sessions_environment_.refuses_work, true)) {
            close_listener();
        }
        for (const auto& session : sessions_) {
            asio::co_spawn(executor_, session->abandon_statement(), asio::detached);
        }
        if (usage_) {
            usage_->send_totals();
        }
        reports_->send(true);
        co_await sleep(tick_interval);
        event_line{"stopped"}.field("sessions", sessions_.size()).write();
    }

    std::string scrape() {
        const auto now = boot_clock::now();
        const auto age = control_.proof_age(now);
        using fractional_seconds = std::chrono::duration<double>;
        metrics_.set_gauge("masticgrade_configuration_proof_age_seconds",
                           "Age of the last proof that the configuration is current.",
                           age ? fractional_seconds(*age).count() : -1);
        metrics_.set_gauge(
            "masticgrade_configuration_version", "Version in force.",
            control_.configuration() ? static_cast<double>(control_.configuration()->version) : 0);
        metrics_.set_gauge("masticgrade_sessions", "Open sessions.",
                           static_cast<double>(sessions_.size()));
        metrics_.set_gauge("masticgrade_live_hosts", "Hosts heard of lately, this one counted.",
                           static_cast<double>(live_hosts()));
        const auto paced = std::accumulate(
            groups_.begin(), groups_.end(), std::size_t{0}, [](std::size_t sum, const auto& entry) {
                return sum +
                       (entry.second ? entry.second->paced_instances(steady_clock::now()) : 0);
            });
        metrics_.set_gauge("masticgrade_paced_instances",
                           "Instances whose concurrent statements are limited after a start.",
                           static_cast<double>(paced));
        const auto unlisted = std::accumulate(
            groups_.begin(), groups_.end(), std::size_t{0}, [](std::size_t sum, const auto& entry) {
                return sum + (entry.second ? entry.second->unlisted_log_holders().size() : 0);
            });
        metrics_.set_gauge("masticgrade_unlisted_log_holders",
                           "Processes that are not in the directory and may have acknowledged "
                           "commits alone.",
                           static_cast<double>(unlisted));
        metrics_.set_gauge("masticgrade_log_lines_suppressed", "Log lines dropped.",
                           static_cast<double>(suppressed_event_lines()));
        return metrics_.scrape();
    }

private:
    /// Runs a task for as long as the process lives. After an unexpected error it is started again,
    /// so that one unreadable message or row does not end the work for all callers; what depends on
    /// the task's data refuses service once the data is too old.
    void spawn(std::string name, std::function<asio::awaitable<void>()> task) {
        asio::co_spawn(executor_, run_restarting(std::move(name), std::move(task)), asio::detached);
    }

    asio::awaitable<void> run_restarting(std::string name,
                                         std::function<asio::awaitable<void>()> task) {
        const auto self = shared_from_this();
        for (;;) {
            try {
                co_await task();
                co_return;
            } catch (const std::exception& failure) {
                metrics_.count("masticgrade_task_failures_total",
                               "Unexpected errors in the tasks of the process.", name);
                event_line{"task_failed"}
                    .field("task", name)
                    .field("reason", failure.what())
                    .write();
            }
            co_await sleep(task_restart_delay);
        }
    }

    asio::awaitable<void> sleep(duration length) {
        asio::steady_timer timer{executor_, length};
        co_await timer.async_wait(asio::use_awaitable);
    }

    bool is_promoting() const {
        return std::any_of(failovers_.begin(), failovers_.end(),
                           [](const auto& entry) { return entry.second->is_promoting(); });
    }

    bool is_finished() const {
        return sessions_.empty() && !is_promoting() && leases_->active_leases() == 0;
    }

    void end_sessions(bool abort_transactions) {
        const auto sessions = sessions_;
        for (const auto& session : sessions) {
            if (abort_transactions) {
                session->abort_transaction("host_stops");
            }
            session->close_when_idle();
        }
    }

    /// Precondition: the settings ask for usage reports.
    void create_usage_accounting() {
        if (services_.usage_reports == nullptr) {
            throw error("start", "usage accounting", "no service for usage reports is given");
        }
        usage_environment environment{executor_,
                                      {settings_.host, incarnation_},
                                      services_.store,
                                      *services_.usage_reports,
                                      *leases_,
                                      metrics_,
                                      [this] { return live_candidates(); },
                                      [this] { return hosts_.others().size() + 1; }};
        usage_ = std::make_unique<usage_accounting>(std::move(environment), *settings_.usage);
        sessions_environment_.on_operation_run = [this](const customer_id& customer,
                                                        wall_time began_at) {
            usage_->count(customer, began_at);
        };
    }

    std::vector<collector_candidate> live_candidates() const {
        std::vector<collector_candidate> result{
            {settings_.host, settings_.failure_domain, settings_.link_mbps}};
        for (const auto& [id, host] : hosts_.others()) {
            if (limiter_.is_live(id, boot_clock::now())) {
                result.push_back({id, host.failure_domain, host.link_mbps});
            }
        }
        return result;
    }

    std::size_t live_hosts() const { return limiter_.live_peer_count(boot_clock::now()) + 1; }

    std::shared_ptr<backend_group> find_group(const group_id& name) {
        auto& group = groups_[name];
        if (!group) {
            group_environment environment{
                executor_,
                services_.connector,
                metrics_,
                settings_.failure_domain,
                [this] { return live_hosts(); },
                [this] { return limiter_.local_load_fraction(boot_clock::now()); },
                [this] { request_directory_refresh(); },
                [this](const instance_entry& entry) { return pool_owners_->pool_owner_of(entry); },
                [this, name](host_id owner, instance_id instance, acquire_request request) {
                    return leases_->acquire_remote(std::move(owner), std::move(instance), name,
                                                   std::move(request));
                },
                [this, name](host_id owner, customer_id customer, time_point deadline) {
                    return leases_->query_position(std::move(owner), name, std::move(customer),
                                                   deadline);
                },
                [this] { return steady_clock::now() < positions_relayed_until_; },
                settings_.paces_instances,
                [this](const instance_id& instance) {
                    return failover_rank(group_id{instance.str()}, settings_.host, live_host_ids());
                }};
            group = std::make_shared<backend_group>(name, std::move(environment));
            failover_environment failover{executor_,
                                          settings_.host,
                                          services_.store,
                                          services_.promotions,
                                          services_.connector,
                                          metrics_,
                                          [this] { return live_host_ids(); },
                                          [this] { return read_directory(); },
                                          [this](group_id group_name, instance_entry primary) {
                                              return query_primary(std::move(group_name),
                                                                   std::move(primary));
                                          },
                                          [this](group_id group_name, std::uint64_t fence) {
                                              return announce_begun(std::move(group_name), fence);
                                          },
                                          [this](const group_id& group_name, std::uint64_t fence) {
                                              announce_recorded(group_name, fence);
                                          },
                                          started_,
                                          settings_.entry_lifetime,
                                          entry_history_};
            if (failover_rows_) {
                apply_failover_row(name, *group);
            }
            failovers_[name] = std::make_shared<group_failover>(group, std::move(failover));
            spawn("failover", [failover = failovers_[name]] { return failover->run(); });
            log_holders_[name] = std::make_unique<log_holder_registry>(
                group, log_holder_registry::environment{executor_, services_.store,
                                                        services_.connector, settings_.host,
                                                        [this] { return live_host_ids(); }});
            spawn("log_holders", [registry = log_holders_[name].get()] { return registry->run(); });
            idle_provers_[name] = std::make_unique<idle_position_prover>(
                group,
                idle_position_prover::environment{executor_, services_.connector, settings_.host,
                                                  [this] { return live_host_ids(); }});
            spawn("idle_position", [prover = idle_provers_[name].get()] { return prover->run(); });
        }
        return group;
    }

    /// The pool owner of the primary and the live hosts that rank highest for the group's failover.
    /// Registered hosts if none is live: all may have failed, or this host may be cut off.
    std::set<host_id> hosts_to_ask_about(const group_id& group, const instance_entry& primary) {
        auto candidates = live_host_ids();
        std::erase(candidates, settings_.host);
        if (candidates.empty()) {
            const auto registered = other_hosts();
            candidates.assign(registered.begin(), registered.end());
        }
        const auto highest = highest_ranked_hosts(group, candidates, hosts_asked_about_primary);
        std::set<host_id> result{highest.begin(), highest.end()};
        if (const auto owner = pool_owners_->pool_owner_of(primary).host; !owner.empty()) {
            result.insert(owner);
        }
        return result;
    }

    asio::awaitable<primary_replies> query_primary(group_id group, instance_entry primary) {
        const auto self = shared_from_this();
        const auto answer_by = steady_clock::now() + announcement_timeout;
        const auto hosts = hosts_to_ask_about(group, primary);
        const auto replies = std::make_shared<primary_replies>(hosts.size());
        const auto pending = std::make_shared<pending_confirmations>(
            pending_confirmations{hosts.size(), asio::steady_timer{executor_, answer_by}});
        std::size_t index = 0;
        for (const auto& host : hosts) {
            asio::co_spawn(executor_, leases_->query_primary(host, {group, primary.id}, answer_by),
                           [pending, replies, index](const std::exception_ptr& failure,
                                                     const std::optional<primary_reply>& reply) {
                               if (!failure) {
                                   (*replies)[index] = reply;
                               }
                               if (--pending->missing == 0) {
                                   pending->timer.cancel();
                               }
                           });
            ++index;
        }
        if (pending->missing > 0) {
            boost::system::error_code ignored;
            co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return *replies;
    }

    /// Tells all registered hosts that this host has acquired a failover lock. Hosts that register
    /// later read the lock row after they have registered.
    asio::awaitable<failover_announcement> announce_begun(group_id group, std::uint64_t fence) {
        const auto self = shared_from_this();
        const auto deadline = steady_clock::now() + read_timeout;
        auto prefix = host_registry::rows;
        auto snapshot = co_await rows_.read_store(std::move(prefix), deadline);
        co_await hosts_.update(std::move(snapshot.rows), deadline);
        const auto confirm_by = steady_clock::now() + announcement_timeout;
        const auto recipients = other_hosts();
        const auto pending = std::make_shared<pending_confirmations>(
            pending_confirmations{recipients.size(), asio::steady_timer{executor_, confirm_by}});
        const auto told = std::make_shared<std::vector<host_acknowledgements>>();
        for (const auto& host : recipients) {
            asio::co_spawn(executor_, leases_->announce_failover(host, {group, fence}, confirm_by),
                           [pending, told](const std::exception_ptr& failure,
                                           const std::optional<host_acknowledgements>& answer) {
                               // A host whose announcement failed has not confirmed.
                               if (failure || !answer) {
                                   return;
                               }
                               told->push_back(*answer);
                               if (--pending->missing == 0) {
                                   pending->timer.cancel();
                               }
                           });
        }
        if (pending->missing > 0) {
            boost::system::error_code ignored;
            co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return make_announcement(recipients, *told);
    }

    failover_announcement make_announcement(const std::set<host_id>& asked,
                                            std::vector<host_acknowledgements> confirmed) const {
        failover_announcement result;
        for (const auto& host : asked) {
            result.unconfirmed.emplace(host, hosts_.last_heard(host));
        }
        for (const auto& answer : confirmed) {
            result.unconfirmed.erase(answer.host);
        }
        for (const auto& host : hosts_.silent()) {
            if (!asked.contains(host)) {
                result.silent.emplace(host, hosts_.last_heard(host));
            }
        }
        result.confirmed = std::move(confirmed);
        return result;
    }

    void announce_recorded(const group_id& group, std::uint64_t fence) {
        for (const auto& [id, host] : hosts_.others()) {
            leases_->announce_recorded(id, {group, fence});
        }
    }

    std::vector<host_id> live_host_ids() const {
        std::vector<host_id> result{settings_.host};
        for (const auto& [id, host] : hosts_.others()) {
            if (limiter_.is_live(id, boot_clock::now())) {
                result.push_back(id);
            }
        }
        return result;
    }

    std::set<host_id> other_hosts() const {
        std::set<host_id> result;
        for (const auto& [id, host] : hosts_.others()) {
            result.insert(id);
        }
        return result;
    }

    void request_directory_refresh() { directory_refresh_requested_ = true; }

    milliseconds uptime() const {
        return std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_);
    }

    std::optional<endpoint_address> address_of(const host_id& host) const {
        const auto found = hosts_.others().find(host);
        if (found == hosts_.others().end()) {
            return std::nullopt;
        }
        return found->second.address;
    }

    void update_groups() {
        const auto& configuration = control_.configuration();
        if (!configuration || !directory_.is_loaded()) {
            return;
        }
        for (const auto& [name, settings] : configuration->groups) {
            find_group(name)->update(settings, directory_.entries_of(name), control_.evacuated());
        }
    }

    milliseconds read_interval() const {
        return reports_->rows().sources.empty() ? control_interval : relayed_read_interval;
    }

    asio::awaitable<void> control_loop() {
        bool reachable = true;
        for (;;) {
            const auto started = steady_clock::now();
            bool succeeded = false;
            try {
                const auto deadline = started + read_timeout;
                auto prefix = services_.documents.operator_row_prefix();
                const auto snapshot =
                    co_await rows_.read(std::move(prefix), max_relayed_age, deadline);
                succeeded = true;
                apply_control(snapshot);
            } catch (const error& failure) {
                log_store_state(reachable, false, failure.what());
            }
            if (succeeded) {
                log_store_state(reachable, true, "");
            }
            const auto next = started + (succeeded ? read_interval() : control_retry_interval);
            co_await sleep(std::max<duration>(next - steady_clock::now(), milliseconds{1}));
        }
    }

    void apply_control(const row_snapshot& snapshot) {
        const bool decode = !decoded_control_.configuration || snapshot.digest != control_digest_;
        if (decode || snapshot.era != control_era_) {
            log_operator_rows(snapshot, decode);
        }
        control_era_ = snapshot.era;
        if (decode) {
            decoded_control_ = services_.documents.decode_control(snapshot.rows);
            control_digest_ = snapshot.digest;
        }
        if (control_.apply(decoded_control_, snapshot.read_at)) {
            limiter_.configure(control_.configuration()->limits, boot_clock::now());
            update_groups();
        }
    }

    static void log_operator_rows(const row_snapshot& snapshot, bool decoded) {
        fleet_version newest;
        for (const auto& row : snapshot.rows) {
            newest = std::max(newest, row.version);
        }
        event_line{"operator_rows_read"}
            .field("era", snapshot.era)
            .field("newest_row_version", newest)
            .field("rows", snapshot.rows.size())
            .field("digest", snapshot.digest)
            .field("decoded", decoded)
            .field_ms("read_age_ms", boot_clock::now() - snapshot.read_at)
            .write();
    }

    void log_store_state(bool& reachable, bool now_reachable, std::string_view reason) {
        if (reachable == now_reachable) {
            return;
        }
        reachable = now_reachable;
        event_line{now_reachable ? "store_regained" : "store_lost"}
            .field_ms("proof_age_ms",
                      control_.proof_age(boot_clock::now()).value_or(boot_clock::duration{}))
            .field("reason", reason)
            .write();
    }

    /// Reads the instance rows from the store itself.
    asio::awaitable<void> read_directory() {
        const auto deadline = steady_clock::now() + read_timeout;
        auto prefix = services_.documents.instance_row_prefix();
        apply_directory(co_await rows_.read_store(std::move(prefix), deadline));
    }

    void apply_directory(const row_snapshot& snapshot) {
        // Relays read at different times, so an answer may be older than the previous one.
        if (snapshot.read_at > directory_read_at_) {
            directory_read_at_ = snapshot.read_at;
            const auto entries = services_.documents.decode_instances(snapshot.rows);
            directory_.apply(entries, boot_clock::now());
            entry_history_.on_read(entries, snapshot.read_at);
            update_groups();
        }
    }

    asio::awaitable<void> directory_loop() {
        for (;;) {
            const auto started = steady_clock::now();
            try {
                // In a large fleet only the relays read the store more often; they pass it on.
                if (std::exchange(directory_refresh_requested_, false) && reports_->is_relay()) {
                    co_await read_directory();
                } else {
                    auto prefix = services_.documents.instance_row_prefix();
                    apply_directory(co_await rows_.read(std::move(prefix), max_relayed_age,
                                                        started + read_timeout));
                }
            } catch (const error& failure) {
                directory_.on_store_lost();
                entry_history_.on_read_failed();
                metrics_.count("masticgrade_store_failures_total",
                               "Readings of the store that failed.", "instances");
            }
            while (steady_clock::now() - started <
                   (directory_refresh_requested_ ? fast_directory_interval : read_interval())) {
                co_await sleep(tick_interval);
            }
        }
    }

    void refresh_failovers() {
        failovers_changed_at_ = boot_clock::now();
        failover_read_timer_.cancel();
    }

    void apply_failover_row(const group_id& name, backend_group& group) {
        const auto row = find_failover_row(failover_rows_->rows, name);
        group.on_failover_row(row ? std::optional{row->record} : std::nullopt,
                              failover_rows_->read_at, failover_rows_->era);
    }

    /// Reads the failover rows, not older than the last announcement of a change.
    asio::awaitable<void> read_failover_rows(boot_time asked_at) {
        const auto deadline = steady_clock::now() + read_timeout;
        auto max_age = max_relayed_age;
        const bool changed = failover_rows_ && failovers_changed_at_ > failover_rows_->read_at;
        if (changed) {
            max_age = std::min(max_age,
                               std::chrono::floor<milliseconds>(asked_at - failovers_changed_at_));
        }
        auto prefix = failover_row::prefix;
        auto snapshot = co_await rows_.read(std::move(prefix), max_age, deadline);
        if (failover_rows_ && snapshot.read_at < failover_rows_->read_at) {
            co_return;
        }
        failover_rows_ = std::move(snapshot);
        for (const auto& [name, group] : groups_) {
            apply_failover_row(name, *group);
        }
    }

    asio::awaitable<void> failover_row_loop() {
        bool reachable = true;
        // A host that promotes looks for registered hosts after it has locked the failover row, so
        // the row proves nothing to a host that is not registered.
        while (!hosts_.is_registered()) {
            co_await sleep(registration_poll_interval);
        }
        for (;;) {
            const auto asked_at = boot_clock::now();
            auto next = failover_retry_interval;
            try {
                co_await read_failover_rows(asked_at);
                next = reports_->rows().sources.empty() ? failover_read_interval
                                                        : relayed_failover_read_interval;
                log_failover_rows(reachable, true, "");
            } catch (const error& failure) {
                log_failover_rows(reachable, false, failure.what());
            }
            if (failovers_changed_at_ <= asked_at) {
                failover_read_timer_.expires_after(next);
                boost::system::error_code ignored;
                co_await failover_read_timer_.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
            }
            if (failovers_changed_at_ > asked_at && !reports_->rows().sources.empty()) {
                co_await sleep(relay_read_delay);
            }
        }
    }

    void log_failover_rows(bool& reachable, bool now_reachable, std::string_view reason) {
        if (std::exchange(reachable, now_reachable) == now_reachable) {
            return;
        }
        const auto age =
            failover_rows_ ? boot_clock::now() - failover_rows_->read_at : boot_clock::duration{};
        event_line{now_reachable ? "failover_rows_regained" : "failover_rows_lost"}
            .field_ms("age_ms", age)
            .field("reason", reason)
            .write();
    }

    /// Queries the position proofs of all groups in use from the first relay of the failure domain.
    asio::awaitable<void> position_loop() {
        for (;;) {
            co_await sleep(relayed_position_interval);
            const auto now = steady_clock::now();
            const auto& sources = reports_->rows().sources;
            if (reports_->is_relay() || sources.empty() ||
                live_hosts() < min_hosts_for_relayed_positions) {
                continue;
            }
            positions_query query;
            for (const auto& [name, group] : groups_) {
                if (auto customer = group->position_customer(now)) {
                    query.groups.push_back({name, std::move(*customer)});
                }
            }
            if (query.groups.empty()) {
                continue;
            }
            const auto proofs = co_await leases_->query_positions(sources.front(), std::move(query),
                                                                  now + announcement_timeout);
            if (!proofs) {
                continue;
            }
            for (const auto& [name, proof] : *proofs) {
                find_group(name)->add_proof(proof.instance, proof.moment, proof.position);
            }
            positions_relayed_until_ = steady_clock::now() + 2 * relayed_position_interval;
        }
    }

    asio::awaitable<void> refresh_hosts() {
        const auto deadline = steady_clock::now() + read_timeout;
        auto prefix = host_registry::rows;
        row_snapshot snapshot;
        if (hosts_.is_registered()) {
            snapshot = co_await rows_.read(std::move(prefix), max_relayed_host_list_age, deadline);
        } else {
            snapshot = co_await rows_.read_store(std::move(prefix), deadline);
        }
        const auto era = snapshot.era;
        co_await hosts_.update(std::move(snapshot.rows), deadline);
        registered_era_ = era;
    }

    /// Whether this host's row was seen since the last known restore of the store.
    bool is_registration_current() const {
        return hosts_.has_read_own_row() && registered_era_ >= rows_.newest_era();
    }

    asio::awaitable<void> host_list_loop() {
        for (;;) {
            try {
                const auto known = hosts_.others().size();
                co_await refresh_hosts();
                limiter_.expect_peers(other_hosts(), boot_clock::now());
                if (hosts_.others().size() > known) {
                    reports_->send(false);
                }
            } catch (const error& failure) {
                metrics_.count("masticgrade_store_failures_total",
                               "Readings of the store that failed.", "hosts");
            }
            const auto read_at = steady_clock::now();
            host_list_refresh_requested_ = false;
            while (steady_clock::now() - read_at <
                   (is_registration_current() && !host_list_refresh_requested_
                        ? host_list_interval
                        : fast_host_list_interval)) {
                co_await sleep(tick_interval);
            }
        }
    }

    void receive_reports(const host_id& sender, const peer::usage_reports& message) {
        for (const auto& item : reports_->receive(sender, message)) {
            host_list_refresh_requested_ =
                host_list_refresh_requested_ || !hosts_.others().contains(item.host);
            if (pool_owners_->owns_any_pool()) {
                leases_->on_report(item.host, item.incarnation);
            }
        }
    }

    asio::awaitable<std::optional<peer::message_body>> on_peer_message(peer::envelope message) {
        if (const auto* reports = std::get_if<peer::usage_reports>(&message.body)) {
            receive_reports(message.sender, *reports);
            co_return std::nullopt;
        }
        if (std::holds_alternative<peer::service_message>(message.body)) {
            co_return co_await leases_->on_message(std::move(message));
        }
        co_return std::nullopt;
    }

    asio::awaitable<void> tick_loop() {
        for (;;) {
            const auto now = steady_clock::now();
            for (auto& [name, group] : groups_) {
                group->tick(now);
            }
            leases_->tick(now);
            const auto sessions = sessions_;
            for (const auto& session : sessions) {
                session->tick(now);
            }
            co_await sleep(tick_interval);
        }
    }

    asio::any_io_executor executor_;
    gateway_settings settings_;
    gateway_services services_;
    incarnation_number incarnation_;
    boot_time started_;
    control_state control_;
    usage_limiter limiter_;
    gateway_metrics metrics_;
    instance_directory directory_;
    entry_history entry_history_{settings_.entry_lifetime};
    host_registry hosts_;
    shared_rows rows_;
    /// Digest of the operators' rows that were decoded last.
    std::uint64_t control_digest_ = 0;
    store_era control_era_;
    /// Era in which the host list was read last.
    store_era registered_era_;
    control_snapshot decoded_control_;
    boot_time directory_read_at_;
    /// The failover rows of all groups, as read last.
    std::optional<row_snapshot> failover_rows_;
    /// When another host last announced that it has changed a failover row.
    boot_time failovers_changed_at_;
    asio::steady_timer failover_read_timer_{executor_};
    /// A relay supplies position proofs until then.
    time_point positions_relayed_until_;
    session_environment sessions_environment_;
    std::unique_ptr<peer::peer_network> peers_;
    std::shared_ptr<lease_service> leases_;
    std::unique_ptr<report_exchange> reports_;
    std::unique_ptr<pool_owner_selector> pool_owners_;
    /// Null if the settings do not ask for usage reports.
    std::unique_ptr<usage_accounting> usage_;
    std::map<group_id, std::shared_ptr<backend_group>> groups_;
    std::map<group_id, std::shared_ptr<group_failover>> failovers_;
    std::map<group_id, std::unique_ptr<log_holder_registry>> log_holders_;
    std::map<group_id, std::unique_ptr<idle_position_prover>> idle_provers_;
    std::set<std::shared_ptr<caller_session>> sessions_;
    bool directory_refresh_requested_ = false;
    bool host_list_refresh_requested_ = false;
    bool stopping_ = false;
};

gateway::gateway(asio::any_io_executor executor, gateway_settings settings,
                 gateway_services services)
    : implementation_(
          std::make_shared<implementation>(std::move(executor), std::move(settings), services)) {}

gateway::~gateway() = default;

void gateway::start() { implementation_->start(); }

asio::awaitable<void> gateway::serve(std::shared_ptr<caller_connection> link) {
    return implementation_->serve(std::move(link));
}

bool gateway::is_ready() const { return implementation_->is_ready(); }

asio::awaitable<void> gateway::stop(std::function<void()> close_listener) {
    return implementation_->stop(std::move(close_listener));
}

std::string gateway::scrape() { return implementation_->scrape(); }

}  // namespace masticgrade
