#include "report_exchange.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds report_interval{250};
/// The same in a large fleet. With the time on two relays it stays below the time after which a
/// host counts as silent.
constexpr milliseconds large_fleet_report_interval{400};
/// Reports of other hosts are collected for this long and forwarded in one message.
constexpr milliseconds relay_interval{100};
/// A report that is not sent within this time is dropped, since newer ones supersede it.
constexpr milliseconds report_lifetime{400};

}  // namespace

report_exchange::report_exchange(reporting_host self, usage_limiter& limiter, host_registry& hosts,
                                 peer::peer_network& peers, std::function<bool()> accepts_leases)
    : self_(std::move(self)),
      limiter_(limiter),
      hosts_(hosts),
      peers_(peers),
      accepts_leases_(std::move(accepts_leases)),
      relay_(self_.host, self_.failure_domain, self_.link_mbps) {}

asio::awaitable<void> report_exchange::run(asio::any_io_executor executor) {
    auto report_at = steady_clock::now();
    auto relay_at = report_at;
    for (;;) {
        const auto now = steady_clock::now();
        if (now >= report_at) {
            send(false);
            report_at = now + (hosts_.others().size() >= report_relay::large_fleet
                                   ? large_fleet_report_interval
                                   : report_interval);
        }
        if (now >= relay_at) {
            update_relays();
            deliver(relay_.route_queued(boot_clock::now()));
            relay_at = now + relay_interval;
        }
        asio::steady_timer pause{executor, std::min(report_at, relay_at)};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void report_exchange::send(bool leaving) {
    update_relays();
    peer::host_report own{self_.host, self_.incarnation,
                          limiter_.report(boot_clock::now(), leaving, accepts_leases_())};
    own.report.is_relay = relay_.is_relay();
    deliver(relay_.route_own(own));
}

std::vector<peer::host_report> report_exchange::receive(const host_id& sender,
                                                        const peer::usage_reports& message) {
    const auto now = boot_clock::now();
    std::vector<peer::host_report> new_reports;
    for (const auto& item : message.reports) {
        if (item.host != self_.host &&
            limiter_.on_report(item.host, item.incarnation, item.report, now)) {
            relay_.enqueue(sender, item, now);
            hosts_.mark_alive(item.host);
            new_reports.push_back(item);
        }
    }
    return new_reports;
}

void report_exchange::update_relays() {
    const auto now = boot_clock::now();
    relay_.update_hosts(hosts_.others(),
                        [&](const host_id& host) { return limiter_.is_live(host, now); });
    if (std::exchange(was_relay_, relay_.is_relay()) != relay_.is_relay()) {
        event_line{"relay_changed"}
            .field("is_relay", relay_.is_relay())
            .field("live_hosts", limiter_.live_peer_count(now) + 1)
            .write();
    }
}

void report_exchange::deliver(const std::vector<report_relay::delivery>& messages) {
    for (const auto& [recipients, message] : messages) {
        std::vector<endpoint_address> addresses;
        addresses.reserve(recipients.size());
        for (const auto& recipient : recipients) {
            const auto found = hosts_.others().find(recipient);
            if (found != hosts_.others().end()) {
                addresses.push_back(found->second.address);
            }
        }
        peers_.send_to_all(addresses, message, steady_clock::now() + report_lifetime);
    }
}

}  // namespace masticgrade
