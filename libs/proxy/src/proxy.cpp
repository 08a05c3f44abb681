#include "masticgrade/proxy/proxy.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <thread>
#include <utility>
#include <vector>

#include "admin_api.hpp"
#include "caller_api.hpp"
#include "drain_runtime.hpp"
#include "failover_runtime.hpp"
#include "fleet_membership.hpp"
#include "fleet_state.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/net/http_server.hpp"
#include "masticgrade/net/platform_client.hpp"
#include "masticgrade/version/rendezvous.hpp"
#include "peer_service.hpp"
#include "rate_admission.hpp"
#include "statement_service.hpp"
#include "store_sync.hpp"
#include "transaction_service.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"proxy"};

/// Interval of the deadline checks for queues, confirmations and transactions.
constexpr milliseconds tick_interval{10};
/// How long an idle connection stays open during a graceful stop.
constexpr milliseconds idle_connection_grace{500};
constexpr seconds max_request_duration{60};
constexpr seconds leave_timeout{3};
/// Time for handing over the share ledgers; covers several retries of the share protocol.
constexpr milliseconds handover_time{500};
constexpr milliseconds publish_timeout{1000};
/// Number of hosts with connections to a group's instances; they are notified of a new primary
/// directly.
constexpr std::size_t serving_hosts_per_group = 7;

}  // namespace

class proxy::implementation {
public:
    explicit implementation(proxy_settings settings)
        : settings_(std::move(settings)),
          context_(static_cast<int>(settings_.threads)),
          store_(std::make_shared<platform_client>(context_.get_executor(), settings_.platform)),
          fleet_(std::make_shared<fleet_state>(context_.get_executor())),
          metrics_(std::make_shared<request_metrics>()),
          signals_(context_, SIGTERM, SIGINT) {
        make_services();
        make_servers();
    }

    void run() {
        log.info("Started host={} failure_domain={} listen={} admin={} peer={}.", settings_.host,
                 settings_.failure_domain, settings_.listen, settings_.admin_listen,
                 settings_.peer_listen);
        start(sync_->run());
        start(tick_loop());
        start(drain_->watch_hosts());
        start(stop_on_signal());
        callers_->start();
        admin_->start();
        std::vector<std::thread> threads;
        for (unsigned i = 1; i < settings_.threads; ++i) {
            threads.emplace_back([this] { run_context(); });
        }
        run_context();
        for (auto& thread : threads) {
            thread.join();
        }
        log.info("Stopped host={}.", settings_.host);
    }

private:
    void run_context() noexcept {
        try {
            context_.run();
        } catch (const std::exception& failure) {
            log.error("A task failed; aborting the process reason=\"{}\".", failure.what());
            std::abort();
        }
    }

    /// Runs a task for the lifetime of the process. A failed task aborts the process: restarting it
    /// is safer than serving without polls or timers.
    void start(asio::awaitable<void> task) {
        asio::co_spawn(asio::make_strand(context_), std::move(task),
                       [](const std::exception_ptr& failure) {
                           if (failure) {
                               std::rethrow_exception(failure);
                           }
                       });
    }

    void make_services() {
        sync_ = std::make_shared<store_sync>(store_, fleet_,
                                             [this](time_point sent_at, fleet_version version) {
                                                 membership_->on_store_read(sent_at, version);
                                             });
        make_membership();
        make_limits();
        make_failover();
        make_drain();
        make_peers();
        fleet_->set_snapshot_observer(
            [this](const fleet_snapshot_ptr& snapshot) { on_snapshot(snapshot); });
        fleet_->set_reply_observer([this](const group_id& group, const instance_id& instance,
                                          const database_reply& reply, time_point sent_at) {
            failover_->on_answer(group, {instance, reply.term, reply.received_position,
                                         reply.applied_position, sent_at});
        });
        make_apis();
    }

    void make_membership() {
        fleet_membership::dependencies deps;
        deps.self = {settings_.host, settings_.peer_advertise, settings_.failure_domain, {}};
        deps.fleet = fleet_;
        deps.store = store_;
        deps.read_store = [this](time_point deadline) { return sync_->read_now(deadline); };
        deps.peers = [this]() -> peer_service& { return *peers_; };
        deps.on_identity_changed = [this](const host_incarnation& identity) {
            peers_->set_identity(identity.incarnation, fleet_->snapshot()->hosts.version);
            limits_->on_joined({identity.id, identity.incarnation});
            limits_->on_snapshot(fleet_->snapshot());
        };
        membership_ = std::make_shared<fleet_membership>(context_.get_executor(), std::move(deps));
    }

    void make_limits() {
        share_settings shares;
        shares.mode = settings_.static_rate_split ? share_mode::static_split : share_mode::shared;
        const auto self = membership_->self();
        limits_ = std::make_shared<rate_admission>(
            host_process{self.id, self.incarnation}, shares,
            [this](share_envelope envelope) { peers_->send_share_message(std::move(envelope)); });
    }

    void make_failover() {
        failover_runtime::dependencies deps;
        deps.self = settings_.host;
        deps.fleet = fleet_;
        deps.store = store_;
        deps.send_suspicion = [this](const host_id& recipient, const group_id& group,
                                     term_number term, bool suspected) {
            peers_->send(recipient, peer::suspect_report{group, term, suspected});
        };
        deps.publish = [this](group_id group) { return publish(std::move(group)); };
        deps.is_reachable = [this](const host_id& host) { return membership_->is_reachable(host); };
        deps.on_attempt_ended = [this](const group_id& group) {
            drain_->on_switchover_ended(group);
        };
        failover_ = std::make_shared<failover_runtime>(context_.get_executor(), std::move(deps));
    }

    void make_drain() {
        drain_runtime::dependencies deps;
        deps.own_domain = settings_.failure_domain;
        deps.fleet = fleet_;
        deps.store = store_;
        deps.coordinated_groups = [this] { return failover_->coordinated_groups(); };
        deps.begin_switchover = [this](const start_switchover& action) {
            return failover_->start_planned_switchover(action);
        };
        drain_ = std::make_unique<drain_runtime>(std::move(deps));
    }

    void make_peers() {
        const auto self = membership_->self();
        peer::network_options options;
        options.listen = settings_.peer_listen;
        options.sender = settings_.host;
        options.seed = self.incarnation.value();
        peer_service::handlers handlers;
        handlers.on_any_message = [this](const peer::envelope& message) {
            membership_->on_peer_message(message);
        };
        handlers.on_exchange = [this](const peer::envelope& message) {
            return membership_->answer_exchange(message);
        };
        handlers.on_suspicion = [this](const host_id& sender, const peer::suspect_report& report) {
            failover_->on_suspicion(sender, report.group, report.term, report.suspected);
        };
        handlers.on_share_message = [this](const share_envelope& envelope) {
            limits_->on_message(envelope);
        };
        peers_ = std::make_unique<peer_service>(context_.get_executor(), std::move(options), fleet_,
                                                std::move(handlers));
        peers_->set_identity(self.incarnation, {});
    }

    void make_apis() {
        const auto new_work_refusal = [this] { return membership_->refuse_work(); };
        statement_service::options options;
        options.own_domain = settings_.failure_domain;
        options.primary_reads_only = settings_.primary_reads_only;
        statements_ = std::make_shared<statement_service>(fleet_, new_work_refusal, options);
        transactions_ = std::make_shared<transaction_service>(fleet_, new_work_refusal);
        caller_api_ = std::make_shared<caller_api>(
            caller_api::dependencies{fleet_, limits_, statements_, transactions_, metrics_},
            session_codec{settings_.token_secrets});
        admin_api::dependencies admin;
        admin.host = settings_.host;
        admin.failure_domain = settings_.failure_domain;
        admin.fleet = fleet_;
        admin.metrics = metrics_;
        admin.transactions = transactions_;
        admin.new_work_refusal = new_work_refusal;
        admin.not_ready_reason = [this] { return not_ready_reason(); };
        admin.held_share = [this](const customer_id& customer) {
            return limits_->held_share(customer);
        };
        admin.member_versions = [this] { return membership_->member_versions(); };
        admin_api_ = std::make_shared<admin_api>(std::move(admin));
    }

    std::optional<std::string> not_ready_reason() const {
        if (stopping_) {
            return "the process is stopping";
        }
        if (!membership_->joined()) {
            return "this host is not a member";
        }
        if (!drain_->own_domain_in_service()) {
            return "the failure domain is drained";
        }
        if (!limits_->is_ready()) {
            return "the rate shares are not complete";
        }
        return membership_->refuse_work();
    }

    void on_snapshot(const fleet_snapshot_ptr& snapshot) {
        membership_->on_snapshot(snapshot);
        peers_->set_identity(membership_->self().incarnation, snapshot->hosts.version);
        limits_->on_snapshot(snapshot);
        failover_->on_snapshot(snapshot);
        drain_->on_snapshot(*snapshot);
    }

    /// Applies the record this host has just committed and notifies the hosts that serve the group.
    asio::awaitable<void> publish(group_id group) {
        co_await sync_->read_now(steady_clock::now() + publish_timeout);
        const auto snapshot = fleet_->snapshot();
        membership_->announce(
            rank_hosts(snapshot->hosts, "home/" + group.str(), serving_hosts_per_group));
    }

    void make_servers() {
        const auto executor = context_.get_executor();
        callers_ = std::make_unique<http_server>(
            executor, settings_.listen, http_server_limits{},
            [this](const http_peer& peer, http_request request) -> asio::awaitable<http_response> {
                if (auto health = admin_api_->check_health(request)) {
                    co_return std::move(*health);
                }
                co_return co_await caller_api_->handle(peer, std::move(request));
            });
        admin_ =
            std::make_unique<http_server>(executor, settings_.admin_listen, http_server_limits{},
                                          [this](const http_peer& peer, http_request request) {
                                              return admin_api_->handle(peer, std::move(request));
                                          });
    }

    asio::awaitable<void> tick_loop() {
        asio::steady_timer timer{co_await asio::this_coro::executor};
        for (;;) {
            const auto now = steady_clock::now();
            for (const auto& group : fleet_->groups()) {
                group->tick(now);
            }
            transactions_->tick(now);
            membership_->tick();
            limits_->on_freshness(membership_->fresh_until());
            limits_->tick(now);
            failover_->tick(now);
            drain_->tick(now);
            timer.expires_after(tick_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> stop_on_signal() {
        const int number = co_await signals_.async_wait(asio::use_awaitable);
        log.info("Stopping signal={} connections={}.", number, callers_->open_connections());
        stopping_ = true;
        asio::steady_timer timer{co_await asio::this_coro::executor};
        timer.expires_after(settings_.balancer_grace);
        co_await timer.async_wait(asio::use_awaitable);
        const auto deadline = steady_clock::now() + max_request_duration;
        callers_->stop_gracefully(steady_clock::now() + idle_connection_grace);
        while (callers_->open_connections() > 0 && steady_clock::now() < deadline) {
            timer.expires_after(tick_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await leave_fleet();
        context_.stop();
    }

    /// Leaves the fleet and hands over the rate shares, so that no other host waits for this one.
    asio::awaitable<void> leave_fleet() {
        if (!co_await membership_->leave(steady_clock::now() + leave_timeout)) {
            log.warning("Stopping before this host was removed from the member list host={}.",
                        settings_.host);
            co_return;
        }
        limits_->on_left();
        asio::steady_timer timer{co_await asio::this_coro::executor, handover_time};
        co_await timer.async_wait(asio::use_awaitable);
    }

    proxy_settings settings_;
    asio::io_context context_;
    std::shared_ptr<table_service> store_;
    std::shared_ptr<fleet_state> fleet_;
    std::shared_ptr<request_metrics> metrics_;
    asio::signal_set signals_;
    std::atomic<bool> stopping_{false};
    std::shared_ptr<store_sync> sync_;
    std::shared_ptr<rate_admission> limits_;
    std::shared_ptr<fleet_membership> membership_;
    std::shared_ptr<failover_runtime> failover_;
    std::unique_ptr<drain_runtime> drain_;
    std::unique_ptr<peer_service> peers_;
    std::shared_ptr<statement_service> statements_;
    std::shared_ptr<transaction_service> transactions_;
    std::shared_ptr<caller_api> caller_api_;
    std::shared_ptr<admin_api> admin_api_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> admin_;
};

proxy::proxy(proxy_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings))) {}

proxy::~proxy() = default;

void proxy::run() { implementation_->run(); }

}  // namespace masticgrade
