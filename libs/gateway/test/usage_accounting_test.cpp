#include "usage_accounting.hpp"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>

#include "fakes.hpp"

using namespace masticgrade;
using namespace masticgrade::test;
namespace asio = boost::asio;

namespace {

const customer_id customer{"parish"};

/// Records the reports and answers them with the given outcomes.
class fake_reports final : public usage_report_service {
public:
    asio::awaitable<report_outcome> send(window_usage report, std::uint64_t fence,
                                         time_point /*deadline*/) override {
        calls.push_back({std::move(report), fence});
        auto outcome = report_outcome::done;
        if (!outcomes.empty()) {
            outcome = outcomes.front();
            outcomes.pop_front();
        }
        co_return outcome;
    }

    struct call {
        window_usage report;
        std::uint64_t fence = 0;
    };
    std::vector<call> calls;
    std::deque<report_outcome> outcomes;
};

/// The network, lease service and usage accounting of one host.
class accounting_host {
public:
    accounting_host(asio::io_context& context, fake_store& store, fake_reports& reports,
                    std::map<host_id, endpoint_address>& addresses, const std::string& name,
                    std::uint64_t incarnation)
        : addresses_(addresses), incarnation_(incarnation) {
        peer::network_options options;
        options.listen = endpoint_address{"127.0.0.1:0"};
        options.sender = host_id{name};
        network_ = std::make_unique<peer::peer_network>(
            context.get_executor(), std::move(options),
            [this](peer::envelope message) { return leases_->on_message(std::move(message)); });
        network_->set_identity(incarnation_, {});
        addresses[host_id{name}] = network_->local_address();
        lease_environment environment{
            context.get_executor(),
            *network_,
            {},
            [this](const host_id& host) -> std::optional<endpoint_address> {
                return addresses_.at(host);
            },
            [] { return true; },
            {},
            [] { return milliseconds{0}; },
            [] {},
            incarnation_};
        environment.receive_usage = [this](const host_id& sender, incarnation_number process,
                                           const usage_update& update) {
            return accounting->receive(sender, process, update);
        };
        leases_ = std::make_shared<lease_service>(std::move(environment));
        usage_settings settings;
        settings.window = milliseconds{500};
        settings.lease = milliseconds{0};
        accounting = std::make_unique<usage_accounting>(
            usage_environment{context.get_executor(),
                              {host_id{name}, incarnation_},
                              store,
                              reports,
                              *leases_,
                              metrics_,
                              [this] { return candidates(); },
                              [this] { return addresses_.size(); }},
            settings);
        asio::co_spawn(context, accounting->run_exchange(), asio::detached);
        asio::co_spawn(context, accounting->run_reports(), asio::detached);
    }
    accounting_host(const accounting_host&) = delete;
    accounting_host& operator=(const accounting_host&) = delete;
    ~accounting_host() { network_->stop(); }

private:
    [[nodiscard]] std::vector<collector_candidate> candidates() const {
        std::vector<collector_candidate> result;
        for (const auto& [host, address] : addresses_) {
            result.push_back({host, failure_domain_id{host.str()}, 10});
        }
        return result;
    }

    std::map<host_id, endpoint_address>& addresses_;
    incarnation_number incarnation_;
    gateway_metrics metrics_;
    std::unique_ptr<peer::peer_network> network_;
    std::shared_ptr<lease_service> leases_;

public:
    std::unique_ptr<usage_accounting> accounting;
};

std::uint64_t total_of(const fake_reports& reports) {
    std::map<window_number, std::uint64_t> windows;
    for (const auto& call : reports.calls) {
        const auto found = call.report.counts.find(customer);
        windows[call.report.window] = found == call.report.counts.end() ? 0 : found->second;
    }
    std::uint64_t result = 0;
    for (const auto& [window, count] : windows) {
        result += count;
    }
    return result;
}

}  // namespace

// Guards against operations of other hosts that never reach the report, and against a report that
// changes when the store and the platform fail in between.
TEST_CASE("one host reports the operations of all, through failures of store and platform") {
    asio::io_context context{1};
    fake_store store;
    fake_reports reports;
    std::map<host_id, endpoint_address> addresses;
    accounting_host first{context, store, reports, addresses, "first", 1};
    accounting_host second{context, store, reports, addresses, "second", 2};
    accounting_host third{context, store, reports, addresses, "third", 3};
    store.failures = 2;
    store.answers_to_lose = 1;
    reports.outcomes = {report_outcome::unknown, report_outcome::done, report_outcome::unknown};
    constexpr std::uint64_t operations = 20;
    for (std::uint64_t i = 0; i < operations; ++i) {
        first.accounting->count(customer, wall_clock::now());
        second.accounting->count(customer, wall_clock::now());
        third.accounting->count(customer, wall_clock::now());
        context.run_for(milliseconds{100});
    }
    const auto deadline = steady_clock::now() + seconds{15};
    while (total_of(reports) < 3 * operations && steady_clock::now() < deadline) {
        context.run_for(milliseconds{50});
    }
    CHECK(total_of(reports) == 3 * operations);
    // Hosts send their totals each second to the one that says that it is the holder.
    unsigned holders = 0;
    for (auto* host : {&first, &second, &third}) {
        const auto answer =
            host->accounting->receive(host_id{"first"}, incarnation_number{1}, usage_update{});
        holders += answer.is_holder ? 1 : 0;
    }
    CHECK(holders == 1);
    std::map<window_number, usage_counts> reported;
    for (const auto& call : reports.calls) {
        CHECK(call.fence == reports.calls.front().fence);
        CHECK(reported.try_emplace(call.report.window, call.report.counts).first->second ==
              call.report.counts);
    }
}
