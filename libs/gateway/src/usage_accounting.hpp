#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "gateway_metrics.hpp"
#include "lease_service.hpp"
#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/net/table_service.hpp"
#include "masticgrade/usage/usage_reporter.hpp"

namespace masticgrade {

/// Dependencies of usage accounting. They must outlive it.
struct usage_environment {
    boost::asio::any_io_executor executor;
    usage_reporter::identity self;
    table_service& store;
    usage_report_service& reports;
    lease_service& leases;
    gateway_metrics& metrics;
    /// All live hosts, including this one.
    std::function<std::vector<collector_candidate>()> live_hosts;
    /// Number of hosts in the store's list, including this one.
    std::function<std::size_t()> registered_hosts;
};

/// Counts this host's operations, exchanges totals with the other hosts, and carries out the steps
/// of the usage reports. Lives as long as the process. Thread safety: none; one executor.
class usage_accounting {
public:
    usage_accounting(usage_environment environment, usage_settings settings);

    /// Counts one operation that an instance began to run.
    void count(const customer_id& customer, wall_time began_at);
    /// Stores the totals of another host's process.
    usage_acknowledgement receive(const host_id& sender, incarnation_number incarnation,
                                  const usage_update& update);
    /// Sends totals to the collectors until the process ends.
    boost::asio::awaitable<void> run_exchange();
    /// Reports usage when this host is the one to do so, until the process ends.
    boost::asio::awaitable<void> run_reports();
    /// Sends the totals to all collectors immediately.
    void send_totals();

private:
    /// Determines the live hosts and the collectors.
    void update_fleet();
    /// This host's place among the collectors; absent if it is none.
    [[nodiscard]] std::optional<std::size_t> rank() const;
    void send_totals_to_all(const std::vector<host_id>& collectors);
    boost::asio::awaitable<void> sleep(duration length);
    boost::asio::awaitable<void> send_totals_to(host_id collector, usage_update update);
    boost::asio::awaitable<void> perform(read_record_step step);
    boost::asio::awaitable<void> perform(write_record_step step);
    boost::asio::awaitable<void> perform(send_report_step step);
    void log(const write_record_step& step, bool committed);

    usage_environment environment_;
    std::vector<host_id> live_hosts_;
    std::vector<host_id> collectors_;
    /// The collector that last said that it reports usage.
    std::optional<host_id> holder_;
    operation_counter counter_;
    usage_collector collector_;
    usage_reporter reporter_;
};

}  // namespace masticgrade
