#include <boost/json/src.hpp>

#include "world.hpp"

// One tenant sends many times its usual: its two sessions set session values of nearly 1 MiB each.
// The platform ends a process that exceeds its memory limit and starts it again. Sessions of
// another tenant read meanwhile.

using namespace review;

namespace {

constexpr std::size_t host_count = 2;
constexpr std::size_t value_bytes = 1'000'000;
constexpr long memory_limit_mb = 260;
/// Statements a second of the tenant on each host, and how many times that it sends in an episode.
constexpr double usual_per_s = 15;
constexpr double trouble_factor = 7.5;
constexpr milliseconds episode_length{6500};
constexpr milliseconds episode_gap{4000};
constexpr int episodes = 2;
/// The rule counts processes that end by themselves three times on two machines.
constexpr int ends_per_host = 3;

json::value make_config() {
    const auto tenant = [](const std::string& name) {
        return json::object{{"name", name},
                            {"rate-per-s", 100},
                            {"burst", 100},
                            {"api-keys", json::array{"key-of-" + name}}};
    };
    return json::object{
        {"version", 1},
        {"routes", json::array{json::object{{"name", "r"},
                                            {"database", "bookings"},
                                            {"type", "primary"},
                                            {"timeout-ms", 800},
                                            {"target-latency-ms", 150},
                                            {"priority", 1},
                                            {"service", "ledger"},
                                            {"public", false}}}},
        {"services", json::array{json::object{
                         {"name", "ledger"}, {"max-connections", 21}, {"sync-replicas", 1}}}},
        {"limits", json::object{{"tx-idle-ms", 3000}}},
        {"tenants", json::array{tenant("hot"), tenant("parish")}}};
}

/// Sends SET statements with names of their own until the end of the episode.
void send_values(const host& target, double per_s, steady::time_point until,
                 std::atomic<int>& acknowledged) {
    const std::string value(value_bytes, 'x');
    const auto started = steady::now();
    caller link;
    bool open = false;
    for (int count = 0; steady::now() < until; ++count) {
        std::this_thread::sleep_until(started + std::chrono::duration_cast<steady::duration>(
                                                    std::chrono::duration<double>(count / per_s)));
        if (!open) {
            open = link.start(target.port(), "bookings", "key-of-hot");
            continue;
        }
        const auto name = std::to_string(count);
        auto statement = "SET value-" + name;
        statement.append(" ").append(value);
        const auto result = link.query("hot-" + name, statement);
        open = !result.result.empty();
        acknowledged += result.done() ? 1 : 0;
    }
}

void read_calmly(const host& target, const std::atomic<bool>& stopping, std::atomic<int>& cut) {
    caller link;
    bool open = false;
    for (int count = 0; !stopping; ++count) {
        sleep_ms(100);
        if (!open) {
            open = link.start(target.port(), "bookings", "key-of-parish");
            continue;
        }
        open = !link.query("parish-" + std::to_string(count), "READ pole").result.empty();
        cut += open ? 0 : 1;
    }
}

int play(const std::string& program, record_file& record) {
    auto& platform = *new world{record};
    const temporary_folder folder;
    const std::vector<std::string> zones{"north", "east", "south"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
        platform.add("i-" + std::to_string(i), "ledger", zones[i], i == 0);
    }
    platform.put_config(make_config());
    std::vector<std::unique_ptr<host>> hosts;
    for (std::size_t i = 0; i < host_count; ++i) {
        hosts.push_back(std::make_unique<host>(program, folder.path(), "edge-" + std::to_string(i),
                                               zones[i], platform.store_port()));
    }
    for (const auto& item : hosts) {
        if (!item->wait_until_ready()) {
            record.write("a host is not ready");
            return 2;
        }
    }
    sleep_ms(2000);
    std::atomic<bool> stopping{false};
    std::atomic<int> acknowledged{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> threads;
    threads.reserve(2 * host_count);
    for (const auto& item : hosts) {
        threads.emplace_back([&] { read_calmly(*item, stopping, cut); });
    }
    const double per_s = usual_per_s * (has_trouble() ? trouble_factor : 1);
    record.write("tenant hot: two episodes of 6.5 s with " + std::to_string(per_s) +
                 " SET a second on each host, 1 MB each");
    std::atomic<int> running{0};
    for (const auto& item : hosts) {
        ++running;
        threads.emplace_back([&] {
            for (int episode = 0; episode < episodes; ++episode) {
                send_values(*item, per_s, steady::now() + episode_length, acknowledged);
                std::this_thread::sleep_for(episode_gap);
            }
            --running;
        });
    }
    std::vector<int> ends(host_count, 0);
    std::vector<std::optional<steady::time_point>> restart_at(host_count);
    auto next_line = steady::now();
    while (running > 0) {
        sleep_ms(10);
        const auto now = steady::now();
        std::string line = "memory in MB:";
        for (std::size_t i = 0; i < host_count; ++i) {
            if (restart_at[i] && now >= *restart_at[i]) {
                restart_at[i].reset();
                hosts[i]->start();
                record.write("platform: host " + std::to_string(i) + " is started again");
                continue;
            }
            const bool runs = !restart_at[i] && hosts[i]->is_running();
            const auto used = runs ? hosts[i]->memory_mb() : 0;
            line += " " + std::to_string(used);
            if (!restart_at[i] && (!runs || used > memory_limit_mb)) {
                hosts[i]->kill();
                ++ends[i];
                restart_at[i] = now + milliseconds{500};
                record.write("platform: host " + std::to_string(i) + " uses " +
                             std::to_string(used) + " MB and is ended");
            }
        }
        if (now >= next_line) {
            record.write(line + "; values acknowledged: " + std::to_string(acknowledged.load()));
            next_line = now + milliseconds{1000};
        }
    }
    stopping = true;
    for (auto& item : threads) {
        item.join();
    }
    record.write("ends of the hosts: " + std::to_string(ends[0]) + ", " + std::to_string(ends[1]) +
                 "; connections of the other tenant that broke: " + std::to_string(cut.load()));
    if (acknowledged == 0) {
        return 2;
    }
    return ends[0] >= ends_per_host && ends[1] >= ends_per_host ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
    return argc == 3 ? run_case(argv[2], [&](record_file& record) { return play(argv[1], record); })
                     : 2;
}
