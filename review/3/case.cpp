// A primary is replaced while one replica receives nothing. Later both up-to-date instances are
// down, and that replica is promoted, although every host has seen newer commits acknowledged.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
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
constexpr unsigned writes_per_host = 3;
/// `evacuate-ms` of the deployment.
constexpr milliseconds evacuation_limit{5000};

/// Length of the time in which replica i-b receives nothing, and of the crashes.
constexpr milliseconds deaf_time{6500};
constexpr milliseconds down_time{7000};
constexpr milliseconds between_crashes{2500};
constexpr milliseconds recovery_time{5000};
constexpr milliseconds read_interval{50};

/// Reads through one host, and opens a new session after an error.
void read_until(const std::atomic<bool>& stopping, ledger& notes, const fleet& hosts,
                std::size_t host) {
    client reader{notes, "reader" + std::to_string(host), "parish"};
    bool is_open = false;
    while (!stopping) {
        is_open = is_open || reader.start(hosts.port(host), "db-primary", "key-parish");
        is_open = is_open && reader.query("READ pole-1").done();
        pause(read_interval);
    }
}

/// One writing caller for each host.
class writers {
public:
    writers(ledger& notes, const fleet& hosts) : hosts_(hosts) {
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            callers_.push_back(
                std::make_unique<client>(notes, "writer" + std::to_string(host), "parish"));
        }
    }
    /// Starts new sessions. Returns whether all were opened.
    bool start() {
        bool opened = true;
        for (std::size_t host = 0; host < callers_.size(); ++host) {
            opened = callers_[host]->start(hosts_.port(host), "db-primary", "key-parish") && opened;
        }
        return opened;
    }
    /// Returns whether all writes were acknowledged.
    bool write_all() {
        bool acknowledged = true;
        for (unsigned i = 0; i < writes_per_host; ++i) {
            for (const auto& caller : callers_) {
                const auto number = std::to_string(++written_);
                acknowledged =
                    caller->query("WRITE pole-1 number-" + number).done() && acknowledged;
            }
        }
        return acknowledged;
    }

private:
    const fleet& hosts_;
    std::vector<std::unique_ptr<client>> callers_;
    unsigned written_ = 0;
};

/// Sets a flag at the end of its scope.
class scope_end {
public:
    explicit scope_end(std::atomic<bool>& flag) : flag_(flag) {}
    scope_end(const scope_end&) = delete;
    scope_end& operator=(const scope_end&) = delete;
    ~scope_end() { flag_ = true; }

private:
    std::atomic<bool>& flag_;
};

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
    writers callers{notes, hosts};
    if (!callers.start() || !callers.write_all()) {
        return 2;
    }
    std::atomic<bool> stopping{false};
    std::vector<std::jthread> readers;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        readers.emplace_back([&, host] { read_until(stopping, notes, hosts, host); });
    }
    const scope_end stop_readers{stopping};
    const auto deaf_since = steady::now();
    if (trouble) {
        instances.set_deaf("i-b", true);
    }
    if (!callers.write_all()) {
        return 2;
    }
    notes.write("the operator evacuates orebro, the zone of the primary");
    world.put("op", "evacuate/orebro", "{}");
    if (!wait_until(evacuation_limit, [&] { return instances.primary() != "i-a"; })) {
        std::cout << "the primary was not replaced\n";
        return 2;
    }
    // The hosts use the new primary as soon as they know the outcome.
    if (!wait_until(evacuation_limit, [&] { return callers.start() && callers.write_all(); })) {
        std::cout << "the new primary is not used\n";
        return 2;
    }
    const auto new_primary = instances.primary();
    bool fits = true;
    if (trouble) {
        instances.crash("i-a");
        const auto first_crash = steady::now();
        pause(between_crashes);
        instances.crash(new_primary);
        const auto second_crash = steady::now();
        fits = new_primary == "i-c" && second_crash < deaf_since + deaf_time;
        std::this_thread::sleep_until(deaf_since + deaf_time);
        instances.set_deaf("i-b", false);
        std::this_thread::sleep_until(first_crash + down_time);
        instances.restart("i-a");
        std::this_thread::sleep_until(second_crash + down_time);
        instances.restart(new_primary);
    }
    pause(recovery_time);
    const bool serves = callers.start() && callers.write_all();
    notes.check_log("ledger", instances.logged_writes());
    std::cout << world.promotion_calls() << " promotion calls, primary " << instances.primary()
              << (serves ? ", serves" : ", does not serve") << ", " << notes.violations()
              << " violations\n";
    if (!fits) {
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
