/// Runs one scenario of real edge processes against stand-ins: a fixed order of faults round the
/// crash of a primary, each begun by what is observed. Ends with code 1 when a promotion loses an
/// acknowledged write or the group does not serve again.

#include <boost/program_options.hpp>
#include <csignal>
#include <deque>
#include <iostream>

#include "host_fleet.hpp"
#include "soak_caller.hpp"
#include "soak_world.hpp"

using namespace masticgrade;
using namespace masticgrade::soak;

namespace {

namespace po = boost::program_options;

constexpr std::size_t host_count = 4;
constexpr std::size_t caller_count = 16;
/// Writes that must be in some logs only before the primary crashes.
constexpr std::size_t newest_writes = 20;
/// Hosts without a reason to wait have promoted an instance by then.
constexpr seconds promotion_opportunity{10};
/// An entry that is gone is out of all hosts' lists by then, and its instance out of their records
/// if they remove it at all.
constexpr seconds removal_opportunity{7};
constexpr milliseconds log_transfer{500};
constexpr seconds never_listed{600};
/// The platform carries out a promotion call without an answer this late.
constexpr milliseconds late_call{8000};

const std::vector<soak_customer> customers{{"parish", "key-of-the-parish", 300, 300, false},
                                           {"council", "key-of-the-council", 100, 100, false}};

class scenario {
public:
    scenario(std::uint64_t seed, const std::string& logs, std::size_t calling_hosts)
        : hosts_(logs, host_count, configured(world_)) {
        for (std::size_t i = 0; i < caller_count; ++i) {
            const auto& customer = customers[i % customers.size()];
            callers_.emplace_back(
                caller_settings{customer.name + "-" + std::to_string(i), customer.key,
                                [this](std::size_t index) { return hosts_.port(index); },
                                calling_hosts, 10, seed + i, &world_.sent(), false});
        }
        await("service at the start", [&] { return served() > 10 * caller_count; });
        primary_ = world_.primary().value_or(0);
        deaf_ = (primary_ + 1) % 3;
        newest_ = (primary_ + 2) % 3;
    }

    soak_world& world() { return world_; }
    host_fleet& hosts() { return hosts_; }
    [[nodiscard]] std::size_t primary() const { return primary_; }
    /// The replica that misses the newest commits.
    [[nodiscard]] std::size_t deaf() const { return deaf_; }
    /// The replica that has them besides the primary.
    [[nodiscard]] std::size_t newest() const { return newest_; }

    void await(const std::string& what, const std::function<bool()>& condition) {
        std::cout << "waits: " << what << std::endl;
        if (!wait_until(condition)) {
            std::cerr << "violation: not seen: " << what << std::endl;
            failed_ = true;
        }
    }
    static void pause(duration length) { std::this_thread::sleep_for(length); }

    /// From now on only the primary and the newest replica receive; returns when callers know of
    /// enough writes that the other replica lacks.
    void write_without_deaf_replica() {
        deaf_since_ = steady_clock::now();
        world_.set_deaf(deaf_, true);
        await("writes that only the primary and the newest replica have",
              [&] { return world_.missing_writes(deaf_) >= newest_writes; });
    }
    /// Hosts that have acknowledged a write that the deaf replica lacks.
    [[nodiscard]] std::set<std::size_t> hosts_that_know() {
        return world_.sent().acknowledging_hosts(deaf_since_);
    }
    /// Gives the hosts the time to promote an instance; the old primary returns with its log and
    /// the group must serve, whether they have or not.
    void return_primary_after_opportunity() {
        world_.set_deaf(deaf_, false);
        const auto before = world_.promotions();
        const auto end = steady_clock::now() + promotion_opportunity;
        while (steady_clock::now() < end && world_.promotions() == before) {
            pause(milliseconds{20});
        }
        std::cout << "promotions before the return of the primary: " << world_.promotions() - before
                  << std::endl;
        world_.restart_instances();
        await_service("service after the return of the primary");
    }
    void await_service(const std::string& what) {
        const auto before = served();
        await(what, [&] { return served() > before + 10 * caller_count; });
    }

    /// Whether the run passed. Precondition: called once.
    bool finish() {
        world_.end_all_faults();
        await_service("service after all faults");
        for (auto& caller : callers_) {
            caller.stop();
            failed_ = failed_ || !caller.violations().empty();
        }
        callers_.clear();
        world_.check_acknowledged();
        return !failed_ && world_.violations().empty();
    }

private:
    static const soak_world& configured(soak_world& world) {
        world.configure(customers);
        return world;
    }
    [[nodiscard]] std::size_t served() const {
        std::size_t sum = 0;
        for (const auto& caller : callers_) {
            sum += caller.served();
        }
        return sum;
    }

    soak_world world_{host_count};
    host_fleet hosts_;
    std::deque<soak_caller> callers_;
    std::size_t primary_ = 0;
    std::size_t deaf_ = 1;
    std::size_t newest_ = 2;
    time_point deaf_since_{};
    bool failed_ = false;
};

void cut_off_newest_replica(scenario& run) {
    run.world().set_cut_off(run.newest(), true);
    run.await("the end of its entry", [&] { return !run.world().is_listed(run.newest()); });
    scenario::pause(removal_opportunity);
    run.write_without_deaf_replica();
}

// Guards against hosts that take a replica for gone while it still receives.
void replica_cut_off(scenario& run) {
    cut_off_newest_replica(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

// Guards against a decision that is safe only while the hosts live that acknowledged the commits.
void replica_cut_off_hosts_killed(scenario& run) {
    cut_off_newest_replica(run);
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.return_primary_after_opportunity();
}

// Guards against hosts that count the empty log of a new process as the log of the old one.
void replica_restarted_empty(scenario& run) {
    run.write_without_deaf_replica();
    run.world().crash_primary();
    run.world().restart_empty(run.newest(), log_transfer);
    run.return_primary_after_opportunity();
}

// The same, without the hosts that remember the acknowledgements.
void replica_restarted_empty_hosts_killed(scenario& run) {
    run.write_without_deaf_replica();
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.world().restart_empty(run.newest(), log_transfer);
    run.return_primary_after_opportunity();
}

void replace_newest_replica(scenario& run) {
    run.world().set_draining(run.newest(), true);
    run.await_service("service while a replica drains");
    run.world().replace(run.newest(), log_transfer, never_listed);
    run.await("all writes in the log of the successor",
              [&] { return run.world().missing_writes(run.newest()) == 0; });
    scenario::pause(removal_opportunity);
    run.write_without_deaf_replica();
}

// Guards against hosts that ignore the successor of an instance that has ended.
void successor_not_listed(scenario& run) {
    replace_newest_replica(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

// The same, without the hosts that remember the acknowledgements.
void successor_not_listed_hosts_killed(scenario& run) {
    replace_newest_replica(run);
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.return_primary_after_opportunity();
}

/// The primary crashes, and the target starts again empty when the first call for it arrives.
void restart_target(scenario& run, promotion_fault fault) {
    run.world().set_promotion_fault(fault, late_call);
    run.world().crash_primary();
    run.await("a promotion call", [&] { return !run.world().promotion_calls().empty(); });
    run.world().restart_empty(run.world().promotion_calls().front(), log_transfer);
    run.world().set_promotion_fault(promotion_fault::none, {});
    run.return_primary_after_opportunity();
}

// Guards against a call that is repeated for a target that has started again since it was chosen.
void target_restarted_before_repeated_call(scenario& run) {
    restart_target(run, promotion_fault::lost);
}

// Guards against a call without an answer that is carried out although its target has started
// again, because no call with a higher fence has made the platform refuse it.
void target_restarted_before_late_call(scenario& run) {
    restart_target(run, promotion_fault::late);
    scenario::pause(late_call);
}

// Guards against a group that waits for ever for a replica that is gone for good.
void replica_gone_for_good(scenario& run) {
    run.world().set_cut_off(run.deaf(), true);
    run.world().crash_instance(run.deaf());
    run.await("the end of its entry", [&] { return !run.world().is_listed(run.deaf()); });
    scenario::pause(removal_opportunity);
    run.await_service("service with one replica");
    const auto started = steady_clock::now();
    run.world().crash_primary();
    run.await("a promotion", [&] { return run.world().promotions() > 0; });
    std::cout << "promoted after "
              << std::chrono::duration_cast<milliseconds>(steady_clock::now() - started).count()
              << " ms" << std::endl;
    run.world().restart_instances();
    run.await_service("service of the promoted replica");
}

struct scenario_entry {
    std::function<void(scenario&)> body;
    /// The number of hosts that callers use.
    std::size_t calling_hosts = host_count;
};

const std::map<std::string, scenario_entry> scenarios{
    {"replica_cut_off", {replica_cut_off}},
    {"replica_cut_off_hosts_killed", {replica_cut_off_hosts_killed}},
    {"replica_cut_off_calling_hosts_killed", {replica_cut_off_hosts_killed, 2}},
    {"replica_restarted_empty", {replica_restarted_empty}},
    {"replica_restarted_empty_hosts_killed", {replica_restarted_empty_hosts_killed}},
    {"successor_not_listed", {successor_not_listed}},
    {"successor_not_listed_hosts_killed", {successor_not_listed_hosts_killed}},
    {"target_restarted_before_repeated_call", {target_restarted_before_repeated_call}},
    {"target_restarted_before_late_call", {target_restarted_before_late_call}},
    {"replica_gone_for_good", {replica_gone_for_good}},
};

}  // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string name;
    std::string logs = "scenario-logs";
    std::uint64_t seed = 1;
    po::options_description flags{"promotion_scenario"};
    flags.add_options()("help", "print this text")("scenario", po::value(&name)->required(),
                                                   "name of the scenario")(
        "seed", po::value(&seed), "seed of the callers")("logs", po::value(&logs),
                                                         "folder for settings and logs");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(count, arguments, flags), values);
        if (values.contains("help")) {
            std::cout << flags;
            return 0;
        }
        po::notify(values);
        const auto& entry = scenarios.at(name);
        scenario run{seed, logs, entry.calling_hosts};
        entry.body(run);
        const bool passed = run.finish();
        std::cout << name << " seed " << seed << (passed ? " passed" : " FAILED")
                  << ": promotions=" << run.world().promotions()
                  << " statements=" << run.world().statements() << std::endl;
        return passed ? 0 : 1;
    } catch (const std::exception& failure) {
        std::cerr << "promotion_scenario: " << failure.what() << std::endl;
        return 2;
    }
}
