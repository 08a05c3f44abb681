// Planned stops of the hosts of one zone, one after the other. A host that is about to end still
// takes new sessions and passes their statements on, and ends before it has the answers.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
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
/// Two `roll_term` of the site at once, each with a stop every 1.3 s.
constexpr milliseconds gap_between_stops{650};
/// "A process that exits or is killed is restarted after a short delay".
constexpr milliseconds restart_delay{500};
constexpr milliseconds round_interval{7000};
constexpr unsigned rounds = 11;
/// A quarter of the site's sessions and requests, for one of four zones.
constexpr std::size_t long_sessions = 73;
constexpr std::size_t short_sessions = 14;
/// A client's time between two requests: drawn between these.
constexpr int shortest_interval_ms = 500;
constexpr int longest_interval_ms = 1500;
constexpr unsigned writes_percent = 12;
/// Mean work of the site's `plocklista`.
constexpr milliseconds work{18};

constexpr milliseconds grace{6000};
constexpr milliseconds judged_after_grace{1000};
constexpr milliseconds statement_timeout{2000};

/// The platform's ingress of one zone, as PROTOCOL.md tells: each node is asked once a second and
/// gets no new connections after two misses, until it answers with 200 again. If fewer than half of
/// the zone's nodes are in rotation, all of them are used; if none is, those of the nearest zone.
/// Thread safety: any thread.
class ingress {
public:
    ingress(const fleet& hosts, std::vector<std::size_t> nodes, std::vector<std::size_t> nearest)
        : hosts_(hosts), nodes_(std::move(nodes)), nearest_(std::move(nearest)) {
        for (const auto node : nodes_) {
            probes_.emplace_back([this, node] { probe(node); });
        }
    }
    ~ingress() { stopping_ = true; }
    ingress(const ingress&) = delete;
    ingress& operator=(const ingress&) = delete;

    /// The host that a new connection of the client is forwarded to.
    std::size_t choose(std::size_t hash) {
        std::vector<std::size_t> candidates;
        for (const auto node : nodes_) {
            const std::lock_guard lock{mutex_};
            if (misses_[node] < misses_limit) {
                candidates.push_back(node);
            }
        }
        if (candidates.empty()) {
            candidates = nearest_;
        } else if (2 * candidates.size() < nodes_.size()) {
            candidates = nodes_;
        }
        return candidates[hash % candidates.size()];
    }

private:
    static constexpr unsigned misses_limit = 2;

    void probe(std::size_t node) {
        constexpr milliseconds interval{1000};
        auto next = steady::now();
        while (!stopping_) {
            const bool ready = hosts_.is_ready(node);
            {
                const std::lock_guard lock{mutex_};
                misses_[node] = ready ? 0 : misses_[node] + 1;
            }
            next += interval;
            std::this_thread::sleep_until(next);
        }
    }

    const fleet& hosts_;
    std::vector<std::size_t> nodes_;
    std::vector<std::size_t> nearest_;
    std::mutex mutex_;
    std::map<std::size_t, unsigned> misses_;
    std::atomic<bool> stopping_{false};
    std::vector<std::jthread> probes_;
};

/// Planned stops, and the requests that ended without an answer. Thread safety: any thread.
class stop_judge {
public:
    stop_judge(ledger& notes, database& instances) : notes_(notes) {
        instances.on_ran([this](const std::string& id) {
            const std::lock_guard lock{mutex_};
            ran_.insert(id);
        });
    }
    void on_stop(std::size_t host) {
        const std::lock_guard lock{mutex_};
        stopped_at_[host] = steady::now();
        ++stops_;
    }
    /// The connection ended without an answer to the statement.
    void on_unanswered(const std::string& id, std::size_t host, steady::time_point sent) {
        const auto now = steady::now();
        const std::lock_guard lock{mutex_};
        const auto stop = stopped_at_.find(host);
        if (stop == stopped_at_.end() || now > stop->second + grace + judged_after_grace ||
            now - sent >= statement_timeout) {
            return;
        }
        const bool at_work_at_the_end = now >= stop->second + grace * 5 / 6;
        constexpr milliseconds early{3000};
        if (!at_work_at_the_end || sent > stop->second + early) {
            unanswered_.push_back({id, host, sent - stop->second, now - stop->second});
        }
    }
    /// Of the requests that got no answer, those that a host had passed on to an instance.
    void check(const fleet& hosts) {
        const std::lock_guard lock{mutex_};
        for (const auto& item : unanswered_) {
            if (ran_.contains(item.id)) {
                notes_.report("LOST", "statement " + item.id + " ran, and " +
                                          hosts.name(item.host) + " ended without an answer; " +
                                          "sent " + text(item.sent) + " ms and ended " +
                                          text(item.ended) + " ms after its planned stop began");
            }
        }
        std::cout << stops_ << " planned stops, " << unanswered_.size()
                  << " statements without an answer\n";
    }

private:
    struct unanswered_statement {
        std::string id;
        std::size_t host;
        steady::duration sent;
        steady::duration ended;
    };
    static std::string text(steady::duration length) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(length).count());
    }

    ledger& notes_;
    std::mutex mutex_;
    std::set<std::string> ran_;
    std::map<std::size_t, steady::time_point> stopped_at_;
    std::vector<unanswered_statement> unanswered_;
    unsigned stops_ = 0;
};

struct scene {
    ledger& notes;
    const fleet& hosts;
    ingress& entry;
    stop_judge& judge;
    std::atomic<bool> stopping{false};
};

/// A client of the zone: keeps its session as long as it can, or opens one for each operation.
void call(scene& world, const std::string& name, std::size_t number, bool keeps_session) {
    client caller{world.notes, name, "parish"};
    const auto* const route = keeps_session ? "db-read_own" : "db-bounded";
    std::size_t host = 0;
    std::size_t tries = 0;
    bool is_open = false;
    const auto open = [&] {
        host = world.entry.choose(number + tries++);
        is_open = caller.start(world.hosts.port(host), route, "key-parish");
        constexpr milliseconds retry_pause{20};
        if (!is_open) {
            pause(retry_pause);
        }
    };
    std::mt19937 random{static_cast<unsigned>(number)};
    std::uniform_int_distribution<int> interval{shortest_interval_ms, longest_interval_ms};
    auto next = steady::now() + milliseconds{interval(random)};
    for (unsigned sent = 0; !world.stopping; ++sent) {
        // A client whose session ends opens another one at once.
        while (keeps_session && steady::now() < next && !world.stopping) {
            if (!is_open || caller.has_ended()) {
                open();
            }
            constexpr milliseconds poll{5};
            pause(poll);
        }
        std::this_thread::sleep_until(next);
        next += milliseconds{interval(random)};
        while (!is_open && !world.stopping) {
            open();
        }
        const bool writes =
            keeps_session && (number + std::size_t{7} * sent) % 100 < writes_percent;
        const auto began = steady::now();
        const auto answer = caller.query(writes ? "WRITE pole-1 " + std::to_string(sent)
                                                : std::string{"READ pole-1"});
        if (answer.code == "NONE" && answer.connection_ended) {
            world.judge.on_unanswered(caller.last_id(), host, began);
        }
        is_open = is_open && !answer.connection_ended && keeps_session;
        if (!keeps_session) {
            caller.disconnect();
        }
    }
}

/// Stops the nodes in turn and starts each again when it has ended. Started from the main thread,
/// as a process ends with the thread that started it.
void stop_in_turn(fleet& hosts, stop_judge& judge, const std::vector<std::size_t>& nodes) {
    const auto began = steady::now();
    std::size_t signalled = 0;
    std::set<std::size_t> ending;
    std::map<std::size_t, steady::time_point> ended_at;
    while (signalled < nodes.size() || !ending.empty() || !ended_at.empty()) {
        if (signalled < nodes.size() && steady::now() >= began + signalled * gap_between_stops) {
            const auto node = nodes[signalled++];
            judge.on_stop(node);
            hosts.signal(node, SIGTERM);
            ending.insert(node);
        }
        std::erase_if(ending, [&](std::size_t node) {
            const bool ended = !hosts.is_running(node);
            if (ended) {
                ended_at[node] = steady::now();
            }
            return ended;
        });
        std::erase_if(ended_at, [&](const auto& item) {
            const bool starts = steady::now() >= item.second + restart_delay;
            if (starts) {
                hosts.start(item.first);
            }
            return starts;
        });
        constexpr milliseconds poll{10};
        pause(poll);
    }
}

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database_settings settings;
    settings.work = work;
    database instances{notes, settings};
    platform world{notes, {&instances}};
    world.configure({{"parish", {"key-parish"}}});
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    // The zone's spare machine is in use.
    const std::vector<std::size_t> orebro{0, 1, hosts.add("orebro")};
    const std::vector<std::size_t> vasteras{2, 3};
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!wait_until(ready_limit, [&] { return hosts.is_ready(host); })) {
            return 2;
        }
    }
    pause(settling_time);
    ingress entry{hosts, orebro, vasteras};
    stop_judge judge{notes, instances};
    scene callers{notes, hosts, entry, judge};
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < long_sessions + short_sessions; ++i) {
        const bool keeps_session = i < long_sessions;
        threads.emplace_back([&callers, i, keeps_session] {
            call(callers, (keeps_session ? "long" : "short") + std::to_string(i), i, keeps_session);
        });
    }
    pause(settling_time);
    for (unsigned round = 0; round < rounds; ++round) {
        const auto began = steady::now();
        if (trouble) {
            stop_in_turn(hosts, judge, orebro);
        }
        std::this_thread::sleep_until(began + round_interval);
    }
    callers.stopping = true;
    threads.clear();
    judge.check(hosts);
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
