#include "masticgrade/proxy/proxy.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include "admin_api.hpp"
#include "caller_api.hpp"
#include "fleet_state.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/net/http_server.hpp"
#include "masticgrade/net/platform_client.hpp"
#include "rate_admission.hpp"
#include "statement_service.hpp"
#include "store_sync.hpp"
#include "transaction_service.hpp"
#include "work_gate.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"proxy"};

/// How often deadlines of queues, confirmations and transactions are looked at.
constexpr milliseconds tick_interval{10};
/// How long a connection without a request stays open during a stop.
constexpr milliseconds idle_connection_grace{500};
constexpr seconds longest_request{60};

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
        start(stop_on_signal());
        callers_->start();
        admin_->start();
        std::vector<std::thread> threads;
        for (unsigned i = 1; i < settings_.threads; ++i) {
            threads.emplace_back([this] { context_.run(); });
        }
        context_.run();
        for (auto& thread : threads) {
            thread.join();
        }
        log.info("Stopped host={}.", settings_.host);
    }

private:
    void start(asio::awaitable<void> task) {
        asio::co_spawn(asio::make_strand(context_), std::move(task), asio::detached);
    }

    void make_services() {
        const auto may_start_work = [this] { return gate_.refusal(steady_clock::now()); };
        sync_ = std::make_shared<store_sync>(
            store_, fleet_, [this](time_point sent_at, fleet_version) { gate_.on_read(sent_at); });
        statement_service::options options;
        options.own_domain = settings_.failure_domain;
        options.primary_reads_only = settings_.primary_reads_only;
        share_settings shares;
        shares.mode = settings_.static_rate_split ? share_mode::static_split : share_mode::shared;
        limits_ = std::make_shared<rate_admission>(host_process{settings_.host, incarnation_},
                                                   shares, [](share_envelope) {});
        statements_ = std::make_shared<statement_service>(fleet_, may_start_work, options);
        transactions_ = std::make_shared<transaction_service>(fleet_, may_start_work);
        caller_api_ = std::make_shared<caller_api>(
            caller_api::parts{fleet_, limits_, statements_, transactions_, metrics_},
            session_codec{settings_.token_secrets});
        admin_api::parts admin;
        admin.host = settings_.host;
        admin.failure_domain = settings_.failure_domain;
        admin.fleet = fleet_;
        admin.metrics = metrics_;
        admin.transactions = transactions_;
        admin.may_start_work = may_start_work;
        admin.not_ready = [this, may_start_work]() -> std::optional<std::string> {
            return stopping_ ? std::optional<std::string>{"the process is stopping"}
                             : may_start_work();
        };
        admin.member_versions = [this] {
            return std::map<host_id, fleet_version>{{settings_.host, fleet_->snapshot()->version}};
        };
        admin_api_ = std::make_shared<admin_api>(std::move(admin));
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
        const auto deadline = steady_clock::now() + longest_request;
        callers_->stop_gracefully(steady_clock::now() + idle_connection_grace);
        while (callers_->open_connections() > 0 && steady_clock::now() < deadline) {
            timer.expires_after(tick_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        context_.stop();
    }

    proxy_settings settings_;
    asio::io_context context_;
    std::shared_ptr<table_service> store_;
    std::shared_ptr<fleet_state> fleet_;
    std::shared_ptr<request_metrics> metrics_;
    asio::signal_set signals_;
    work_gate gate_;
    std::atomic<bool> stopping_{false};
    std::shared_ptr<store_sync> sync_;
    std::shared_ptr<rate_admission> limits_;
    incarnation_number incarnation_;
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
