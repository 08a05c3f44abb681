// Two of three instances are down, and the third lacks acknowledged commits. The host that promotes
// has served readers only, so it does not know of those commits.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
constexpr milliseconds settling_time{3000};
constexpr milliseconds read_interval{50};
constexpr unsigned writes = 10;

/// Times from the moment at which replica i-b receives nothing more.
constexpr milliseconds replica_lost_at{500};
constexpr milliseconds primary_down_at{3000};
constexpr milliseconds receives_again_at{6500};
constexpr milliseconds replica_back_at{7500};
constexpr milliseconds primary_back_at{10000};
constexpr milliseconds end_at{16000};

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
    const std::size_t writing_host = hosts.size() - 1;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> readers;
    for (std::size_t host = 0; host < writing_host; ++host) {
        readers.emplace_back([&, host] { read_until(stopping, notes, hosts, host); });
    }
    pause(settling_time);
    client writer{notes, "writer", "parish"};
    unsigned written = 0;
    const auto write_some = [&] {
        unsigned done = 0;
        for (unsigned i = 0; i < writes; ++i) {
            done += writer.query("WRITE pole-1 number-" + std::to_string(++written)).done() ? 1 : 0;
        }
        return done == writes;
    };
    bool can_run =
        writer.start(hosts.port(writing_host), "db-primary", "key-parish") && write_some();
    const auto began = steady::now();
    const auto wait_for = [&](milliseconds moment) {
        std::this_thread::sleep_until(began + moment);
    };
    if (trouble) {
        instances.set_deaf("i-b", true);
    }
    can_run = can_run && write_some();
    if (trouble) {
        wait_for(replica_lost_at);
        instances.crash("i-c");
        wait_for(primary_down_at);
        instances.crash("i-a");
        wait_for(receives_again_at);
        instances.set_deaf("i-b", false);
        wait_for(replica_back_at);
        instances.restart("i-c");
        wait_for(primary_back_at);
        instances.restart("i-a");
    }
    wait_for(end_at);
    stopping = true;
    for (auto& reader : readers) {
        reader.join();
    }
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
