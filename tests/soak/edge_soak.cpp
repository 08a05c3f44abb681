/// Runs real edge processes against stand-ins, injects faults from outside them, and checks what
/// callers and instances see. Ends with code 1 when something happened that must not.

#include <boost/program_options.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "child_process.hpp"
#include "free_port.hpp"
#include "line_client.hpp"
#include "soak_caller.hpp"
#include "soak_world.hpp"

using namespace masticgrade;
using namespace masticgrade::soak;

namespace {

namespace po = boost::program_options;

struct options {
    std::uint64_t seed = 1;
    int seconds = 30;
    std::size_t hosts = 4;
    std::size_t callers = 8;
    std::string logs = "soak-logs";
    double repeated_answers = 0;
    bool calm = false;
};

/// The edge processes of a run; each can be stopped, paused, killed and started again.
class host_fleet {
public:
    host_fleet(const options& run, const soak_world& world) : logs_(run.logs) {
        std::filesystem::create_directories(logs_);
        for (std::size_t i = 0; i < run.hosts; ++i) {
            auto& item = hosts_.emplace_back();
            item.port = edge_test::free_port();
            item.settings = logs_ + "/host-" + std::to_string(i) + ".conf";
            write_settings(i, item, world.store_port(i));
            start(i);
        }
    }

    [[nodiscard]] unsigned short port(std::size_t index) const { return hosts_.at(index).port; }
    [[nodiscard]] std::size_t size() const { return hosts_.size(); }

    void kill(std::size_t index) {
        hosts_.at(index).process->kill();
        start(index);
    }
    void signal(std::size_t index, int number) const { hosts_.at(index).process->signal(number); }
    /// Starts the host again if it has been asked to stop; waits for its end.
    void finish_stop(std::size_t index) {
        if (const int code = hosts_.at(index).process->wait(); code != 0) {
            std::cerr << "violation: host " << index << " ended with code " << code << std::endl;
            ++bad_ends_;
        }
        start(index);
    }
    [[nodiscard]] int bad_ends() const { return bad_ends_; }

private:
    struct host {
        unsigned short port = 0;
        std::string settings;
        std::unique_ptr<process_test::child_process> process;
        int starts = 0;
    };

    static void write_settings(std::size_t index, const host& item, unsigned short store_port) {
        const auto store = "127.0.0.1:" + std::to_string(store_port);
        std::ofstream settings{item.settings};
        settings << "node=host-" << index << "\nzone=" << (index % 2 == 0 ? "north" : "south")
                 << "\nip=127.0.0.1\n"
                 << "listen-addrs.front=127.0.0.1:" << item.port << "\n"
                 << "listen-addrs.readiness=127.0.0.1:" << edge_test::free_port() << "\n"
                 << "internal-ports=" << edge_test::free_port() << ",65535\n"
                 << "platform.address=" << store << "\ncloud.address=" << store << "\n"
                 << "limits.max-fds=4300\nbounds.grace-s=6\n";
    }

    void start(std::size_t index) {
        auto& item = hosts_.at(index);
        const auto log =
            logs_ + "/host-" + std::to_string(index) + "-" + std::to_string(item.starts++) + ".log";
        item.process = std::make_unique<process_test::child_process>(
            MG_EDGE, std::vector<std::string>{"--settings", item.settings}, log,
            process_test::standard_output::file);
    }

    std::string logs_;
    std::deque<host> hosts_;
    int bad_ends_ = 0;
};

/// Faults begin and end at random times, and overlap. Each kind has a way to begin and one to end.
class fault_schedule {
public:
    fault_schedule(std::uint64_t seed, soak_world& world, host_fleet& hosts)
        : random_(seed), world_(world), hosts_(hosts) {}

    void run(seconds length, bool calm) {
        if (calm) {
            std::this_thread::sleep_for(length);
            return;
        }
        const auto end = steady_clock::now() + length;
        while (steady_clock::now() < end) {
            begin_one();
            const auto next = steady_clock::now() + milliseconds{pick(200, 1500)};
            while (steady_clock::now() < next) {
                end_due(steady_clock::now());
                std::this_thread::sleep_for(milliseconds{10});
            }
        }
        end_due(time_point::max());
    }

private:
    struct pending {
        time_point due;
        std::function<void()> action;
    };

    int pick(int from, int to) { return std::uniform_int_distribution<>{from, to}(random_); }

    void later(std::function<void()> action) {
        ends_.push_back({steady_clock::now() + milliseconds{pick(300, 4000)}, std::move(action)});
    }

    void end_due(time_point now) {
        for (std::size_t i = 0; i < ends_.size();) {
            if (ends_[i].due <= now) {
                const auto action = std::move(ends_[i].action);
                ends_.erase(ends_.begin() + static_cast<std::ptrdiff_t>(i));
                action();
            } else {
                ++i;
            }
        }
    }

    void begin_one() {
        const auto host = static_cast<std::size_t>(pick(0, static_cast<int>(hosts_.size()) - 1));
        const auto instance = static_cast<std::size_t>(pick(0, 2));
        constexpr int kinds = 10;
        const int kind = pick(0, kinds - 1);
        std::cout << "fault " << kind << " host=" << host << " instance=" << instance << std::endl;
        switch (kind) {
            case 0:
                if (busy_hosts_.insert(host).second) {
                    hosts_.kill(host);
                    busy_hosts_.erase(host);
                }
                break;
            case 1:
                if (busy_hosts_.insert(host).second) {
                    hosts_.signal(host, SIGSTOP);
                    later([this, host] {
                        hosts_.signal(host, SIGCONT);
                        busy_hosts_.erase(host);
                    });
                }
                break;
            case 2:
                if (busy_hosts_.insert(host).second) {
                    hosts_.signal(host, SIGTERM);
                    later([this, host] {
                        hosts_.finish_stop(host);
                        busy_hosts_.erase(host);
                    });
                }
                break;
            case 3:
                if (!busy_hosts_.contains(host)) {
                    hosts_.signal(host, SIGHUP);
                }
                break;
            case 4:
                world_.crash_primary();
                later([this] { world_.restart_instances(); });
                break;
            case 5:
                world_.crash_instance(instance);
                later([this] { world_.restart_instances(); });
                break;
            case 6:
                world_.set_store_fault(static_cast<store_fault>(pick(1, 4)));
                later([this] { world_.set_store_fault(store_fault::none); });
                break;
            case 7:
                world_.set_store_link(host, static_cast<link_fault>(pick(1, 5)));
                later([this, host] { world_.set_store_link(host, link_fault::none); });
                break;
            case 8:
                world_.set_instance_link(instance, static_cast<link_fault>(pick(1, 5)));
                later([this, instance] { world_.set_instance_link(instance, link_fault::none); });
                break;
            default:
                for (std::size_t other = 0; other < hosts_.size(); ++other) {
                    if (!busy_hosts_.contains(other)) {
                        hosts_.kill(other);
                    }
                }
                break;
        }
    }

    std::mt19937_64 random_;
    soak_world& world_;
    host_fleet& hosts_;
    std::vector<pending> ends_;
    /// Hosts that are paused or stopping.
    std::set<std::size_t> busy_hosts_;
};

bool wait_until(const std::function<bool()>& condition) {
    constexpr seconds patience{60};
    const auto give_up = steady_clock::now() + patience;
    while (steady_clock::now() < give_up) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

int run(const options& settings) {
    soak_world world{settings.hosts};
    std::vector<soak_customer> customers{{"parish", "key-of-the-parish", 300, 300, false},
                                         {"harbour", "key-of-the-harbour", 20, 20, false},
                                         {"council", "key-of-the-council", 100, 100, false}};
    world.repeat_answers(settings.repeated_answers, settings.seed);
    world.configure(customers);
    host_fleet hosts{settings, world};
    std::deque<soak_caller> callers;
    for (std::size_t i = 0; i < settings.callers; ++i) {
        const auto& customer = customers[i % customers.size()];
        callers.emplace_back(caller_settings{
            customer.name + "-" + std::to_string(i), customer.key,
            [&hosts](std::size_t index) { return hosts.port(index); }, settings.hosts, 10,
            settings.seed + i, &world.sent(), settings.repeated_answers > 0});
    }
    const auto served = [&] {
        std::size_t sum = 0;
        for (const auto& caller : callers) {
            sum += caller.served();
        }
        return sum;
    };
    bool failed = !wait_until([&] { return served() > settings.callers; });
    const auto half = seconds{settings.seconds / 2};
    fault_schedule faults{settings.seed, world, hosts};
    faults.run(half, settings.calm);
    customers[2].withdrawn = true;
    world.configure(customers);
    faults.run(half, settings.calm);
    world.end_all_faults();
    // Service must come back once all faults have ended.
    const auto before = served();
    const bool recovered = wait_until([&] { return served() > before + 10 * settings.callers; });
    if (!recovered) {
        std::cerr << "violation: no service after the faults" << std::endl;
    }
    std::size_t refused = 0;
    for (auto& caller : callers) {
        caller.stop();
        refused += caller.refused();
        failed = failed || !caller.violations().empty();
    }
    callers.clear();
    world.check_acknowledged();
    failed = failed || !recovered || !world.violations().empty() || hosts.bad_ends() > 0;
    std::cout << "seed " << settings.seed << (failed ? " FAILED" : " passed")
              << ": statements=" << world.statements() << " promotions=" << world.promotions()
              << " refused=" << refused << " repeated=" << world.repeated() << std::endl;
    return failed ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    options settings;
    po::options_description flags{"edge_soak"};
    flags.add_options()("help", "print this text")("seed", po::value(&settings.seed),
                                                   "seed of the faults and the callers")(
        "seconds", po::value(&settings.seconds), "time with faults, s")(
        "hosts", po::value(&settings.hosts), "edge processes")(
        "callers", po::value(&settings.callers), "callers, each on a thread of its own")(
        "logs", po::value(&settings.logs), "folder for settings and logs")(
        "repeated-answers", po::value(&settings.repeated_answers),
        "share of the instances' answers that are sent twice; callers then also set values, "
        "prepare "
        "statements and run longer transactions")("calm", po::bool_switch(&settings.calm),
                                                  "no other faults");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(count, arguments, flags), values);
        po::notify(values);
        if (values.contains("help")) {
            std::cout << flags;
            return 0;
        }
        return run(settings);
    } catch (const std::exception& failure) {
        std::cerr << "edge_soak: " << failure.what() << std::endl;
        return 2;
    }
}
