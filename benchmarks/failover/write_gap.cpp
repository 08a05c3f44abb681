#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "group_model.hpp"

using namespace masticgrade;
using masticgrade::test::group_model;
using masticgrade::test::store_mode;

namespace {

struct scenario {
    const char* name;
    int instances;
    bool message_faults;
    std::function<void(group_model&)> inject;
    /// The host that the fault also affects and that executes no writes, or -1.
    int lost_host = -1;
};

struct result {
    std::vector<double> first_host;
    std::vector<double> last_host;
    int unresolved = 0;
    int violations = 0;
    int kept_primary = 0;
};

double in_milliseconds(duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Executes a write every 10 ms, alternating between the hosts.
void write_for(group_model& group, duration time, int lost_host) {
    int next = 0;
    for (const auto end = group.now() + time; group.now() < end;) {
        if (next % 3 != lost_host) {
            group.write(next % 3);
        }
        ++next;
        group.advance(milliseconds{10});
    }
}

void run(const scenario& plan, std::uint64_t seed, result& results) {
    group_model group{seed, plan.instances};
    if (!plan.message_faults) {
        group.heal();
    }
    group.advance(seconds{8});
    write_for(group, seconds{1}, -1);
    const auto before = group.primary_index();
    group.measure_gaps();
    plan.inject(group);
    write_for(group, seconds{6}, plan.lost_host);
    std::vector<double> gaps;
    for (int host = 0; host < 3; ++host) {
        if (host != plan.lost_host) {
            gaps.push_back(in_milliseconds(group.longest_gap(host)));
        }
    }
    results.first_host.push_back(*std::min_element(gaps.begin(), gaps.end()));
    results.last_host.push_back(*std::max_element(gaps.begin(), gaps.end()));
    results.violations += static_cast<int>(group.violations().size());
    results.unresolved += group.primary_index() < 0 ? 1 : 0;
    results.kept_primary += group.primary_index() == before ? 1 : 0;
}

double percentile(std::vector<double> values, double part) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void kill_primary(group_model& group) { group.set_instance_down(group.newest_primary(), true); }

}  // namespace

/// Usage: failover_write_gap [RUNS]. Prints the write gap of each scenario, in simulated
/// milliseconds, over seeds 1 to RUNS.
int main(int argc, char** argv) {
    const int runs = argc > 1 ? std::atoi(argv[1]) : 50;
    const std::vector<scenario> scenarios{
        {"primary dies, 3 instances", 3, false, kill_primary},
        {"primary dies, 5 instances", 5, false, kill_primary},
        {"primary dies, 2% message faults", 3, true, kill_primary},
        {"primary and first monitor cut off", 3, false,
         [](group_model& group) { group.isolate_together(0, group.newest_primary()); }, 0},
        {"primary dies, first monitor paused", 3, false,
         [](group_model& group) {
             kill_primary(group);
             group.set_host_paused(0, true);
         },
         0},
        {"primary dies, store takes 0-2 s", 3, false,
         [](group_model& group) {
             kill_primary(group);
             group.set_store(store_mode::slow);
         }},
        {"primary dies, half of store answers lost", 3, false,
         [](group_model& group) {
             kill_primary(group);
             group.set_store(store_mode::loses_responses);
         }},
        {"planned switch, 3 instances", 3, false,
         [](group_model& group) { group.start_switchover_at(1); }},
        {"planned switch, 5 instances", 5, false,
         [](group_model& group) { group.start_switchover_at(1); }},
    };
    fmt::print("{:42} {:>30} {:>30} {:>6} {:>6}\n", "write gap in ms", "first host p50/p95/max",
               "last host p50/p95/max", "same", "faults");
    for (const auto& plan : scenarios) {
        result results;
        for (int seed = 1; seed <= runs; ++seed) {
            run(plan, static_cast<std::uint64_t>(seed), results);
        }
        const auto summary = [](const std::vector<double>& gaps) {
            return fmt::format("{:.0f}/{:.0f}/{:.0f}", percentile(gaps, 0.5),
                               percentile(gaps, 0.95), percentile(gaps, 1));
        };
        fmt::print("{:42} {:>30} {:>30} {:>6} {:>6}\n", plan.name, summary(results.first_host),
                   summary(results.last_host), results.kept_primary,
                   results.violations + results.unresolved);
    }
    return 0;
}
