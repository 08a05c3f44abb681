// The process that owns an instance's connection pool is killed and restarted while another host
// holds a lease of it for an open transaction. The new process counts its leases from 1 again, so
// the number of the old lease names a connection that belongs to another caller.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
/// Time in which the hosts measure each other and the pools get their owners.
constexpr milliseconds settling_time{3000};
constexpr milliseconds restart_delay{300};
constexpr milliseconds restart_limit{1000};
constexpr unsigned other_callers = 8;

bool serves(ledger& notes, const fleet& hosts, std::size_t host) {
    client probe{notes, "probe" + std::to_string(host), "harbour"};
    return hosts.is_ready(host) && probe.start(hosts.port(host), "db-primary", "key-harbour") &&
           probe.query("READ pole-0").done();
}

struct owner_and_borrower {
    std::size_t owner = 0;
    std::size_t borrower = 0;
};

/// Finds a host whose transactions run on another host's connections to the primary. Transactions
/// that stay open meanwhile need a connection each, which the owner of the pool opens.
std::optional<owner_and_borrower> find_owner(ledger& notes, fleet& hosts) {
    const std::string counter = "masticgrade_backend_connections_opened_total";
    constexpr unsigned attempts = 12;
    std::vector<std::unique_ptr<client>> callers;
    for (unsigned attempt = 0; attempt < attempts; ++attempt) {
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
                return owner_and_borrower{host, through};
            }
        }
        constexpr milliseconds attempt_interval{800};
        pause(attempt_interval);
    }
    return std::nullopt;
}

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database instances{notes, {}};
    platform world{notes, {&instances}};
    world.configure({{"parish", {"key-parish"}}, {"harbour", {"key-harbour"}}});
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!wait_until(ready_limit, [&] { return serves(notes, hosts, host); })) {
            std::cout << "host " << host << " does not serve\n";
            return 2;
        }
    }
    pause(settling_time);
    const auto found = find_owner(notes, hosts);
    if (!found) {
        std::cout << "the owner of the primary's pool was not found\n";
        return 2;
    }
    const auto owner = found->owner;
    const auto borrower = found->borrower;
    notes.write("the owner of the primary's pool is " + hosts.name(owner) + ", the borrower " +
                hosts.name(borrower));

    client first{notes, "first", "parish"};
    if (!first.start(hosts.port(borrower), "db-primary", "key-parish") ||
        !first.query("BEGIN").done() || !first.query("WRITE pole-1 reserved-by-first").done()) {
        return 2;
    }
    if (trouble) {
        hosts.signal(owner, SIGKILL);
        pause(restart_delay);
        hosts.start(owner);
        wait_until(restart_limit, [&] { return hosts.is_ready(owner); });
        constexpr milliseconds owner_again{800};
        pause(owner_again);
    }
    // Callers of another tenant rest in transactions that they will roll back.
    std::vector<std::unique_ptr<client>> others;
    for (unsigned i = 0; i < other_callers; ++i) {
        auto& other = *others.emplace_back(
            std::make_unique<client>(notes, "other" + std::to_string(i), "harbour"));
        if (other.start(hosts.port(borrower), "db-primary", "key-harbour")) {
            other.query("BEGIN");
            other.query("WRITE pole-" + std::to_string(10 + i) + " half-done");
        }
    }
    const auto committed = first.query("COMMIT");
    std::cout << "COMMIT of the first caller: " << committed.code << '\n';
    for (auto& other : others) {
        other->query("ROLLBACK");
    }
    constexpr milliseconds rest{500};
    pause(rest);
    notes.check_log("ledger", instances.logged_writes());
    std::cout << notes.violations() << " violations\n";
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
