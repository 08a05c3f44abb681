// A promotion call gets no answer, its sender loses power, and another host closes the failover in
// favour of the old primary, which is back. The call is carried out after that.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
constexpr milliseconds settling_time{3000};
constexpr milliseconds call_interval{50};
constexpr unsigned probes_of_pools = 12;
/// How long the primary is dark, and the host that has called without power.
constexpr milliseconds primary_dark{3000};
constexpr milliseconds host_dark{3500};
/// Unanswered calls and orders are carried out 2 to 12 s later.
constexpr milliseconds call_delay{10000};
constexpr milliseconds order_delay{12000};
constexpr milliseconds promotion_limit{4000};
constexpr milliseconds kill_delay{100};
constexpr milliseconds end_at{16000};

/// Writes through one host, and opens a new session after an error.
void write_until(const std::atomic<bool>& stopping, ledger& notes, const fleet& hosts,
                 std::size_t host) {
    client writer{notes, "writer" + std::to_string(host), "parish"};
    bool is_open = false;
    unsigned written = 0;
    while (!stopping) {
        is_open = is_open || writer.start(hosts.port(host), "db-primary", "key-parish");
        is_open =
            is_open && writer.query("WRITE pole-1 number-" + std::to_string(++written)).done();
        pause(call_interval);
    }
}

/// Finds the host that owns the pool of connections to the primary: transactions that stay open
/// through other hosts need a connection each, which the owner opens.
std::optional<std::size_t> find_pool_owner(ledger& notes, const fleet& hosts) {
    const std::string counter = "masticgrade_backend_connections_opened_total";
    std::vector<std::unique_ptr<client>> callers;
    for (unsigned attempt = 0; attempt < probes_of_pools; ++attempt) {
        const auto through = hosts.size() - 1 - attempt % hosts.size();
        std::vector<double> before;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            before.push_back(hosts.metric(host, counter));
        }
        auto& caller = *callers.emplace_back(
            std::make_unique<client>(notes, "finder" + std::to_string(attempt), "parish"));
        if (caller.start(hosts.port(through), "db-primary", "key-parish")) {
            caller.query("BEGIN");
            caller.query("READ pole-0");
        }
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            if (host != through && hosts.metric(host, counter) > before[host]) {
                return host;
            }
        }
        constexpr milliseconds attempt_interval{800};
        pause(attempt_interval);
    }
    return std::nullopt;
}

/// The host that holds the failover lock, by the fleet's row in the store.
std::size_t find_holder(platform& world, const fleet& hosts) {
    const auto row = world.row("failover", "ledger");
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (row.find("\"" + hosts.name(host) + "\"") != std::string::npos) {
            return host;
        }
    }
    return hosts.size();
}

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database instances{notes, {}};
    platform world{notes, {&instances}};
    world.configure({{"parish", {"key-parish"}}});
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!wait_until(ready_limit, [&] { return hosts.is_ready(host); })) {
            return 2;
        }
    }
    pause(settling_time);
    const auto owner = find_pool_owner(notes, hosts);
    if (!owner) {
        std::cout << "the owner of the primary's pool was not found\n";
        return 2;
    }
    std::atomic<bool> stopping{false};
    std::vector<std::thread> writers;
    const auto write_through = [&](std::size_t host) {
        writers.emplace_back([&, host] { write_until(stopping, notes, hosts, host); });
    };
    write_through(*owner);
    pause(settling_time);
    const auto began = steady::now();
    bool can_run = true;
    if (trouble) {
        world.delay_promotions(1, call_delay);
        // Of two replicas with the same log, the hosts choose the first.
        instances.delay_order("i-b", "RESUME", order_delay);
        instances.crash("i-a");
        can_run = wait_until(promotion_limit, [&] { return world.promotion_calls() > 0; });
        const auto holder = find_holder(world, hosts);
        can_run = can_run && holder == *owner;
        if (can_run) {
            pause(kill_delay);
            hosts.signal(holder, SIGKILL);
            const auto killed_at = steady::now();
            for (std::size_t host = 0; host < hosts.size(); ++host) {
                if (host != *owner) {
                    write_through(host);
                }
            }
            std::this_thread::sleep_until(began + primary_dark);
            instances.restart("i-a");
            std::this_thread::sleep_until(killed_at + host_dark);
            hosts.start(holder);
        }
    }
    std::this_thread::sleep_until(began + end_at);
    stopping = true;
    for (auto& writer : writers) {
        writer.join();
    }
    notes.check_log("ledger", instances.logged_writes());
    std::cout << world.promotion_calls() << " promotion calls, primary " << instances.primary()
              << ", " << notes.violations() << " violations\n";
    if (!can_run) {
        return 2;
    }
    return notes.violations() > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::cerr << "case PROGRAM RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        return run_case(arguments[1], arguments[2],
                        trouble == nullptr || std::string{trouble} != "0");
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
