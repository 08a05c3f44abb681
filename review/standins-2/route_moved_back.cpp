#include <boost/json/src.hpp>

#include "world.hpp"

// A read_own session commits on a service while one replica receives nothing. The operator moves
// the route to another service, where the session commits too, and back. The session's next read
// must see its own first commit.

using namespace review;

namespace {

const std::string key = "key-of-the-clerk";
/// The site's `config_storm` has a change each 0.33 s.
constexpr milliseconds min_change_interval{340};

json::value make_config(int version, const std::string& service) {
    const auto make_service = [](const std::string& name) {
        return json::object{{"name", name}, {"max-connections", 21}, {"sync-replicas", 1}};
    };
    return json::object{
        {"version", version},
        {"routes", json::array{json::object{{"name", "picklists-" + service},
                                            {"database", "picklists"},
                                            {"type", "read_own"},
                                            {"timeout-ms", 800},
                                            {"target-latency-ms", 250},
                                            {"priority", 2},
                                            {"service", service},
                                            {"max-staleness-ms", 2500},
                                            {"public", false}}}},
        {"services", json::array{make_service("ledger-a"), make_service("ledger-b")}},
        {"limits", json::object{{"tx-idle-ms", 3000}}},
        {"tenants", json::array{json::object{{"name", "parish"},
                                             {"rate-per-s", 2000},
                                             {"burst", 2000},
                                             {"api-keys", json::array{key}}}}}};
}

struct session_state {
    caller link;
    std::string name;
    std::string first_commit;
    std::size_t host = 0;
    bool wrote_on_b = false;
    bool read_on_a = false;
    bool stale = false;
};

bool has_stale(const std::vector<session_state>& sessions) {
    return std::any_of(sessions.begin(), sessions.end(),
                       [](const auto& item) { return item.stale; });
}

int play_cycle(world& platform, record_file& record, instance& replica,
               std::vector<session_state>& sessions, bool trouble, int cycle) {
    const auto suffix = "-" + std::to_string(cycle);
    const auto version = 2 * cycle + 2;
    for (auto& item : sessions) {
        item.wrote_on_b = false;
    }
    if (trouble) {
        platform.set_deaf(replica, true);
    }
    for (auto& item : sessions) {
        item.first_commit = item.name + "-first" + suffix;
        const auto result =
            item.link.query(item.first_commit, "WRITE item-" + item.name + " first" + suffix);
        record.write("caller " + item.name + ": " + item.first_commit + " -> " + result.result);
        if (!result.done()) {
            return 2;
        }
    }
    const auto deadline = steady::now() + milliseconds{6000};
    const auto next_change = steady::now() + min_change_interval;
    if (trouble) {
        platform.put_config(make_config(version, "ledger-b"));
    }
    for (int round = 0; trouble && steady::now() < deadline; ++round) {
        for (auto& item : sessions) {
            if (item.wrote_on_b) {
                continue;
            }
            const auto id = item.name + "-second" + suffix + "-" + std::to_string(round);
            const auto result =
                item.link.query(id, "WRITE other-" + item.name + " second" + suffix);
            const auto runs = platform.runs_of(id);
            item.wrote_on_b = result.done() && !runs.empty() && runs.back().service == "ledger-b";
            if (item.wrote_on_b) {
                record.write("caller " + item.name + ": " + id + " -> " + result.result +
                             " on ledger-b");
            }
        }
        // One host has applied the change.
        const bool applied = std::any_of(sessions.begin(), sessions.end(), [&](const auto& item) {
            return std::all_of(sessions.begin(), sessions.end(), [&](const auto& other) {
                return other.host != item.host || other.wrote_on_b;
            });
        });
        if (applied) {
            break;
        }
        sleep_ms(20);
    }
    if (trouble) {
        std::this_thread::sleep_until(next_change);
        platform.put_config(make_config(version + 1, "ledger-a"));
    }
    for (int round = 0; steady::now() < deadline; ++round) {
        bool all = true;
        for (auto& item : sessions) {
            const auto id = item.name + "-read" + suffix + "-" + std::to_string(round);
            const auto result = item.link.query(id, "READ item-" + item.name);
            const auto runs = platform.runs_of(id);
            if (!result.done() || runs.empty() || runs.back().service != "ledger-a") {
                all = false;
                continue;
            }
            item.read_on_a = true;
            if (trouble && !item.wrote_on_b) {
                continue;
            }
            const auto commit = platform.commit_of(item.first_commit);
            const bool lacks = commit && runs.back().end < *commit;
            if (lacks && !item.stale) {
                item.stale = true;
                record.write("caller " + item.name + ": " + id + " -> " + result.rows.front() +
                             " from " + runs.back().instance_id + ", log ends at " +
                             runs.back().end.text() + ", own commit " + item.first_commit +
                             " is at " + commit->text());
            }
        }
        if (all && round > 20) {
            break;
        }
        sleep_ms(20);
    }
    if (trouble) {
        platform.set_deaf(replica, false);
    }
    return 0;
}

int play(const std::string& program, record_file& record) {
    // Never destroyed, since the threads of open connections use it until the process ends.
    auto& platform = *new world{record};
    const temporary_folder folder;
    const bool trouble = has_trouble();
    const std::vector<std::string> zones{"north", "east", "south"};
    std::vector<instance*> replicas;
    for (const std::string service : {"ledger-a", "ledger-b"}) {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            auto& item = platform.add("i-" + service.substr(7) + std::to_string(i), service,
                                      zones[i], i == 0);
            if (service == "ledger-a") {
                replicas.push_back(&item);
            }
        }
    }
    platform.put_config(make_config(1, "ledger-a"));
    std::vector<std::unique_ptr<host>> hosts;
    const std::vector<std::string> host_zones{"south", "south", "north", "east"};
    for (std::size_t i = 0; i < host_zones.size(); ++i) {
        hosts.push_back(std::make_unique<host>(program, folder.path(), "edge-" + std::to_string(i),
                                               host_zones[i], platform.store_port()));
    }
    for (const auto& item : hosts) {
        if (!item->wait_until_ready()) {
            record.write("a host is not ready");
            return 2;
        }
    }
    sleep_ms(3000);
    constexpr std::size_t session_count = 16;
    std::vector<session_state> sessions(session_count);
    for (std::size_t i = 0; i < session_count; ++i) {
        sessions[i].name = "s" + std::to_string(i);
        sessions[i].host = i % hosts.size();
        if (!sessions[i].link.start(hosts[sessions[i].host]->port(), "picklists", key)) {
            record.write("a session is not accepted");
            return 2;
        }
    }
    // Traffic before the disruption, as in any operation.
    for (int round = 0; round < 20; ++round) {
        for (auto& item : sessions) {
            const auto id = item.name + "-before-" + std::to_string(round);
            if (round == 10) {
                item.link.query(id, "WRITE item-" + item.name + " before");
            } else {
                item.link.query(id, "READ item-" + item.name);
            }
        }
        sleep_ms(100);
    }
    // The hosts apply a configuration within about a second, so that a cycle may take too long for
    // the read to come within the route's staleness.
    constexpr int cycles = 6;
    for (int cycle = 0; cycle < cycles && !has_stale(sessions); ++cycle) {
        const auto result = play_cycle(platform, record, *replicas[2], sessions, trouble, cycle);
        if (result != 0) {
            return result;
        }
        sleep_ms(1500);
    }
    std::size_t read = 0;
    std::size_t stale = 0;
    for (const auto& item : sessions) {
        read += item.read_on_a ? 1 : 0;
        stale += item.stale ? 1 : 0;
    }
    record.write(std::to_string(read) + " sessions read on ledger-a, " + std::to_string(stale) +
                 " of them without their own commit");
    if (read < session_count) {
        return 2;
    }
    return stale > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    return argc == 3 ? run_case(argv[2], [&](record_file& record) { return play(argv[1], record); })
                     : 2;
}
