/// Runs real edge processes against stand-ins, injects faults from outside them, and checks what
/// callers and instances see. Ends with code 1 when something happened that must not.

#include <boost/program_options.hpp>
#include <csignal>
#include <deque>
#include <iostream>
#include <random>
#include <utility>

#include "host_fleet.hpp"
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
    std::string edge = MG_EDGE;
    std::string logs = "soak-logs";
    double repeated_answers = 0;
    bool calm = false;
    bool log_faults = false;
    bool order_faults = false;
};

/// Faults begin and end at random times, and overlap. Each kind has a way to begin and one to end.
class fault_schedule {
public:
    fault_schedule(const options& settings, soak_world& world, host_fleet& hosts)
        : random_(settings.seed),
          order_random_(settings.seed + 1),
          log_faults_(settings.log_faults),
          order_faults_(settings.order_faults),
          world_(world),
          hosts_(hosts) {}

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
                if (order_faults_ && steady_clock::now() >= next_order_fault_) {
                    begin_order_fault();
                    next_order_fault_ =
                        steady_clock::now() + milliseconds{pick_for_order(3000, 7000)};
                }
                end_due(steady_clock::now());
                std::this_thread::sleep_for(milliseconds{10});
            }
        }
    }
    void end_all() { end_due(time_point::max()); }

private:
    struct pending {
        time_point due;
        std::function<void()> action;
    };

    int pick(int from, int to) { return std::uniform_int_distribution<>{from, to}(random_); }

    bool toss() { return pick(0, 1) == 1; }

    /// Faults of orders have draws of their own, so that a seed's other faults stay the same.
    int pick_for_order(int from, int to) {
        return std::uniform_int_distribution<>{from, to}(order_random_);
    }

    void later(std::function<void()> action) {
        after(milliseconds{pick(300, 4000)}, std::move(action));
    }
    void after(milliseconds delay, std::function<void()> action) {
        ends_.push_back({steady_clock::now() + delay, std::move(action)});
    }

    void restart_after(milliseconds delay, std::optional<std::size_t> instance) {
        if (instance) {
            const bool renamed = log_faults_ && toss();
            after(delay, [this, instance, renamed] {
                if (renamed) {
                    world_.restart_renamed(*instance);
                } else {
                    world_.restart_instance(*instance);
                }
            });
        }
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
        // More than there are, so that the last of them, a series, comes more often.
        constexpr int log_kinds = 12;
        const int kind = pick(0, kinds + (log_faults_ ? log_kinds : 0) - 1);
        std::cout << "time_ms=" << unix_ms() << " fault " << kind << " host=" << host
                  << " instance=" << instance << std::endl;
        if (kind >= kinds) {
            begin_log_fault(kind - kinds, instance);
            return;
        }
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
                restart_after(milliseconds{pick(300, 4000)}, world_.crash_primary());
                break;
            case 5:
                world_.crash_instance(instance);
                restart_after(milliseconds{pick(300, 4000)}, instance);
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

    /// Faults that hide a log, end one, or let an order take effect late.
    void begin_log_fault(int kind, std::size_t instance) {
        switch (kind) {
            case 0:
                world_.set_deaf(instance, true);
                later([this, instance] { world_.set_deaf(instance, false); });
                break;
            case 1:
                world_.set_cut_off(instance, true);
                after(milliseconds{pick(1000, 10000)},
                      [this, instance] { world_.set_cut_off(instance, false); });
                break;
            case 2:
                world_.crash_instance(instance);
                after(milliseconds{pick(50, 2000)}, [this, instance] { restart_empty(instance); });
                break;
            case 3:
                world_.move(instance);
                break;
            case 4:
                drain(instance, milliseconds{pick(3000, 9000)}, milliseconds{pick(500, 6000)});
                break;
            case 5:
                world_.set_promotion_fault(toss() ? promotion_fault::late : promotion_fault::lost,
                                           milliseconds{pick(2000, 8000)});
                later([this] { world_.set_promotion_fault(promotion_fault::none, {}); });
                break;
            case 6:
                world_.delay_orders(milliseconds{pick(500, 8000)});
                later([this] { world_.delay_orders(std::nullopt); });
                break;
            case 7:
                crash_primary_and_hosts();
                break;
            default:
                begin_series();
                break;
        }
    }

    /// Faults in which orders, transfers or entries outlast the processes that they are about, and
    /// primaries that run and are not reached.
    void begin_order_fault() {
        const auto instance = static_cast<std::size_t>(pick_for_order(0, 2));
        const int kind = pick_for_order(0, 4);
        std::cout << "time_ms=" << unix_ms() << " fault of orders " << kind
                  << " instance=" << instance << std::endl;
        switch (kind) {
            case 0:
                delay_promotion_calls(instance);
                break;
            case 1:
                world_.delay_orders(milliseconds{pick_for_order(500, 8000)});
                after(milliseconds{pick_for_order(300, 4000)},
                      [this] { world_.delay_orders(std::nullopt); });
                crash_primary_for(milliseconds{pick_for_order(2000, 12000)});
                break;
            case 2:
                stop_transfer(instance);
                break;
            case 3:
                if (const auto primary = world_.primary()) {
                    world_.set_instance_link(*primary, link_fault::cut);
                    after(milliseconds{pick_for_order(500, 12000)}, [this, primary] {
                        if (world_.is_up(*primary)) {
                            world_.set_instance_link(*primary, link_fault::none);
                        }
                    });
                }
                break;
            default:
                world_.set_entries_frozen(true);
                after(milliseconds{pick_for_order(1000, 8000)},
                      [this] { world_.set_entries_frozen(false); });
                break;
        }
    }

    void crash_primary_for(milliseconds length) {
        if (const auto crashed = world_.crash_primary()) {
            after(length, [this, crashed] { world_.restart_instance(*crashed); });
        }
    }

    /// The primary crashes after `time`. If `other` is given, this replica misses the newest
    /// commits.
    void crash_primary_after(milliseconds time, milliseconds length,
                             std::optional<std::size_t> other) {
        if (other) {
            world_.set_deaf(*other, true);
        }
        after(time, [this, length, other] {
            crash_primary_for(length);
            if (other) {
                world_.set_deaf(*other, false);
            }
        });
    }

    /// Half of the time a replica other than `instance`.
    std::optional<std::size_t> pick_other(std::size_t instance) {
        const bool is_none = pick_for_order(0, 1) == 1;
        const auto next = (instance + 1) % 3;
        const auto other = world_.primary() == next ? (instance + 2) % 3 : next;
        return is_none ? std::nullopt : std::optional{other};
    }

    void delay_promotion_calls(std::size_t instance) {
        const milliseconds delay{pick_for_order(2000, 10000)};
        const milliseconds crash{pick_for_order(5, 500)};
        const milliseconds restart{pick_for_order(100, 1000)};
        const milliseconds end{pick_for_order(2000, 5000)};
        const milliseconds crash_time{pick_for_order(300, 1000)};
        const milliseconds length{pick_for_order(2000, 12000)};
        world_.set_promotion_fault(promotion_fault::late, delay);
        if (pick_for_order(0, 1) == 1) {
            world_.restart_next_target_empty(crash, restart);
        }
        after(end, [this] { world_.set_promotion_fault(promotion_fault::none, {}); });
        crash_primary_after(crash_time, length, pick_other(instance));
    }

    /// A replica ends, and the primary crashes while its log is transferred to its successor.
    void stop_transfer(std::size_t instance) {
        const milliseconds drain_time{pick_for_order(500, 2000)};
        const milliseconds transfer{pick_for_order(4000, 10000)};
        const milliseconds crash_time{transfer / 10 + milliseconds{pick_for_order(100, 1500)}};
        const milliseconds length{pick_for_order(2000, 12000)};
        const auto other = pick_other(instance);
        if (!draining_.insert(instance).second) {
            return;
        }
        world_.set_draining(instance, true);
        after(drain_time, [this, instance, transfer, crash_time, length, other] {
            draining_.erase(instance);
            if (!world_.is_up(instance) || world_.primary() == instance) {
                world_.set_draining(instance, false);
                return;
            }
            constexpr milliseconds last_commits{300};
            if (other) {
                world_.set_deaf(*other, true);
            }
            after(last_commits, [this, instance, transfer, crash_time, length, other] {
                world_.replace(instance, transfer, milliseconds{0});
                crash_primary_after(crash_time, length, other);
            });
        });
    }

    void restart_empty(std::size_t instance) {
        world_.restart_empty(instance, milliseconds{pick(300, 1000)});
    }

    /// False when the instance is draining already.
    bool drain(std::size_t instance, milliseconds time, milliseconds unlisted) {
        if (!draining_.insert(instance).second) {
            return false;
        }
        world_.set_draining(instance, true);
        after(time, [this, instance, unlisted] {
            draining_.erase(instance);
            if (world_.is_up(instance)) {
                world_.replace(instance, milliseconds{pick(300, 1000)}, unlisted);
            } else {
                world_.set_draining(instance, false);
            }
        });
        return true;
    }

    void crash_primary_and_hosts() {
        constexpr milliseconds recent{300};
        auto killed =
            world_.sent().acknowledging_hosts(toss() ? steady_clock::now() - recent : time_point{});
        std::erase_if(killed, [&](std::size_t host) { return busy_hosts_.contains(host); });
        const auto crashed = hosts_.kill_with_primary(killed, world_);
        restart_after(milliseconds{pick(300, 4000)}, crashed);
    }

    /// Leaves the newest commits to the primary and a replica that the hosts cannot see or whose
    /// log is lost, and crashes the primary.
    void begin_series() {
        if (std::exchange(in_series_, true)) {
            return;
        }
        const auto primary = world_.primary().value_or(0);
        const bool swapped = toss();
        const auto newest = (primary + (swapped ? 1 : 2)) % 3;
        const auto other = (primary + (swapped ? 2 : 1)) % 3;
        const int way = pick(0, 2);
        const milliseconds drain_time{pick(2000, 4000)};
        milliseconds hidden{pick(3000, 8000)};
        if (way == 0) {
            world_.set_cut_off(newest, true);
        } else if (way == 1 && drain(newest, drain_time, hidden + seconds{pick(1, 4)})) {
            hidden += drain_time;
        } else {
            hidden = milliseconds{0};
        }
        after(hidden, [this, newest, other, way] {
            world_.set_deaf(other, true);
            after(milliseconds{pick(300, 1500)}, [this, newest, other, way] {
                std::cout << "time_ms=" << unix_ms() << " series way=" << way
                          << " newest=" << newest << " lacks=" << world_.missing_writes(newest)
                          << " deaf=" << other << " lacks=" << world_.missing_writes(other)
                          << std::endl;
                if (toss()) {
                    crash_primary_and_hosts();
                } else {
                    restart_after(milliseconds{pick(2000, 10000)}, world_.crash_primary());
                }
                if (way == 2) {
                    restart_empty(newest);
                }
                world_.set_deaf(other, false);
                later([this, newest] {
                    world_.set_cut_off(newest, false);
                    in_series_ = false;
                });
            });
        });
    }

    std::mt19937_64 random_;
    std::mt19937_64 order_random_;
    time_point next_order_fault_{};
    bool log_faults_;
    bool order_faults_;
    soak_world& world_;
    host_fleet& hosts_;
    std::vector<pending> ends_;
    /// Hosts that are paused or stopping.
    std::set<std::size_t> busy_hosts_;
    /// Instances that are draining until they end.
    std::set<std::size_t> draining_;
    bool in_series_ = false;
};

int run(const options& settings) {
    soak_world world{settings.hosts};
    std::vector<soak_customer> customers{{"parish", "key-of-the-parish", 300, 300, false},
                                         {"harbour", "key-of-the-harbour", 20, 20, false},
                                         {"council", "key-of-the-council", 100, 100, false}};
    world.repeat_answers(settings.repeated_answers, settings.seed);
    world.configure(customers);
    host_fleet hosts{settings.edge, settings.logs, settings.hosts, world};
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
    fault_schedule faults{settings, world, hosts};
    faults.run(half, settings.calm);
    if (!settings.log_faults) {
        faults.end_all();
    }
    customers[2].withdrawn = true;
    world.configure(customers);
    faults.run(half, settings.calm);
    faults.end_all();
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
        "edge", po::value(&settings.edge), "edge program of the hosts")(
        "repeated-answers", po::value(&settings.repeated_answers),
        "share of the instances' answers that are sent twice; callers then also set values, "
        "prepare "
        "statements and run longer transactions")("calm", po::bool_switch(&settings.calm),
                                                  "no other faults")(
        "log-faults", po::bool_switch(&settings.log_faults),
        "also faults that hide or end logs, and orders that take effect late")(
        "order-faults", po::bool_switch(&settings.order_faults),
        "also late calls whose targets start again empty, transfers that are stopped, entries that "
        "outlive their processes, and primaries that run and are not reached");
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
