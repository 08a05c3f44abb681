// Routes move to another service and back while replicas are behind. A session that wrote to both
// reads its own write to the first one.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
/// How late replicas apply: 54 times their mean of 60 ms, as on the site's calm day.
constexpr milliseconds replica_lag{54 * 60};
constexpr milliseconds apply_limit{3000};
constexpr unsigned rounds = 5;
constexpr unsigned commits_before = 20;
constexpr unsigned session_count = 6;
constexpr unsigned other_readers = 8;
constexpr milliseconds reader_pause{5};
constexpr unsigned reads_in_round = 6;

/// The statements that ran, by service.
class runs {
public:
    void watch(database& instances) {
        instances.on_ran([this, service = instances.settings().service](const std::string& id) {
            const std::lock_guard lock{mutex_};
            ran_[service].insert(id);
        });
    }
    bool contains(const std::string& service, const std::string& id) {
        const std::lock_guard lock{mutex_};
        return ran_[service].contains(id);
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::set<std::string>> ran_;
};

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database first{notes, {}};
    database_settings other;
    other.service = "roster";
    other.id_prefix = "j-";
    database second{notes, other};
    runs ran;
    ran.watch(first);
    ran.watch(second);
    platform world{notes, {&first, &second}};
    const std::vector<tenant> tenants{{"parish", {"key-parish"}}};
    world.configure(tenants, "ledger");
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    const std::size_t host = hosts.size() - 1;
    client caller{notes, "caller", "parish"};
    std::vector<std::unique_ptr<client>> writers;
    const bool serves = wait_until(ready_limit, [&] {
        return hosts.is_ready(host) &&
               caller.start(hosts.port(host), "db-read_own", "key-parish") &&
               caller.query("READ pole-0").done();
    });
    if (!serves) {
        return 2;
    }
    const auto reads_from = [&](const std::string& service) {
        return wait_until(apply_limit, [&] {
            return caller.query("READ pole-0").done() && ran.contains(service, caller.last_id());
        });
    };
    // The logs of the two services have different lengths.
    for (unsigned i = 0; i < commits_before; ++i) {
        caller.query("WRITE pole-2 before-" + std::to_string(i));
    }
    // Other sessions keep all instances in use.
    std::atomic<bool> stopping{false};
    std::vector<std::thread> readers;
    for (unsigned i = 0; i < other_readers; ++i) {
        readers.emplace_back([&, i] {
            client reader{notes, "reader" + std::to_string(i), "parish"};
            while (!stopping) {
                if (!reader.query("READ pole-0").done()) {
                    reader.start(hosts.port(host), "db-read_own", "key-parish");
                }
                pause(reader_pause);
            }
        });
    }
    for (unsigned i = 0; i < session_count; ++i) {
        auto& writer = *writers.emplace_back(
            std::make_unique<client>(notes, "writer" + std::to_string(i), "parish"));
        writer.start(hosts.port(host), "db-read_own", "key-parish");
    }
    const auto write_all = [&](const std::string& data) {
        for (const auto& writer : writers) {
            writer->query("WRITE pole-1 " + data);
        }
    };
    for (unsigned round = 0; round < rounds; ++round) {
        first.set_apply_lag(replica_lag);
        write_all("round-" + std::to_string(round));
        if (trouble) {
            world.configure(tenants, "roster");
            reads_from("roster");
            write_all("elsewhere-" + std::to_string(round));
            world.configure(tenants, "ledger");
            reads_from("ledger");
        }
        for (unsigned i = 0; i < reads_in_round; ++i) {
            for (const auto& writer : writers) {
                writer->query("READ pole-1");
            }
        }
        first.set_apply_lag(milliseconds{60});
        pause(replica_lag);
    }
    stopping = true;
    for (auto& reader : readers) {
        reader.join();
    }
    notes.check_log("ledger", first.logged_writes());
    notes.check_log("roster", second.logged_writes());
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
