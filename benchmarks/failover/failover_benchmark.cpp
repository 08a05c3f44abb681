#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <memory>
#include <vector>

#include "masticgrade/failover/acknowledgement_tracker.hpp"
#include "masticgrade/failover/drain_controller.hpp"
#include "masticgrade/failover/failure_detector.hpp"
#include "masticgrade/failover/group_health.hpp"

using namespace masticgrade;

namespace {

const host_id self{"proxy-host-000"};
constexpr time_point epoch{seconds{1000}};

std::vector<instance_id> instances_of(std::size_t group) {
    std::vector<instance_id> ids;
    ids.reserve(3);
    for (int i = 0; i < 3; ++i) {
        ids.emplace_back(fmt::format("group-{:04}-instance-{}", group, i));
    }
    return ids;
}

group_record record_of(std::size_t group) {
    group_record record;
    record.version = fleet_version{1};
    record.term = term_number{1};
    record.primary = instances_of(group).front();
    record.coordinator = self;
    record.mark = "0123456789abcdef0123456789abcdef/active";
    return record;
}

/// The failover state of one group on a monitor host.
struct monitored_group {
    explicit monitored_group(std::size_t number)
        : primary(instances_of(number).front()),
          detector(self, {}),
          health(instances_of(number)),
          tracker(instances_of(number)) {
        detector.on_monitors({self, host_id{"proxy-host-001"}, host_id{"proxy-host-002"}}, epoch);
        detector.on_group(instances_of(number), record_of(number), epoch);
    }
    instance_id primary;
    failure_detector detector;
    group_health health;
    acknowledgement_tracker tracker;
};

using monitored_groups = std::vector<std::unique_ptr<monitored_group>>;

monitored_groups make_groups(std::size_t count) {
    monitored_groups groups;
    for (std::size_t i = 0; i < count; ++i) {
        groups.push_back(std::make_unique<monitored_group>(i));
    }
    return groups;
}

instance_state state_of(const instance_id& instance, time_point now) {
    return {{instance, term_number{1}, log_position{100}, log_position{100}, now},
            instance_role::replica,
            term_number{1},
            milliseconds{0}};
}

/// Runs the detector's wakeups of one second and responds to every probe. Returns the number of
/// probes.
std::size_t run_second(monitored_group& group, time_point begin) {
    std::size_t probes = 0;
    for (auto now = group.detector.next_wakeup(); now < begin + seconds{1};
         now = group.detector.next_wakeup()) {
        for (const auto& action : group.detector.on_time(now)) {
            if (const auto* probe = std::get_if<probe_instance>(&action)) {
                auto state = state_of(probe->instance, now);
                if (probe->instance == group.primary) {
                    state.role = instance_role::primary;
                }
                group.health.on_state(state);
                benchmark::DoNotOptimize(group.detector.on_state(state, now));
                ++probes;
            }
        }
    }
    return probes;
}

/// Measures one second of a monitor's work for a number of groups without other responses.
void idle_second(benchmark::State& state) {
    const auto groups = make_groups(static_cast<std::size_t>(state.range(0)));
    auto now = epoch;
    std::size_t probes = 0;
    for (auto _ : state) {
        for (const auto& group : groups) {
            probes += run_second(*group, now);
        }
        now += seconds{1};
    }
    state.SetComplexityN(state.range(0));
    state.counters["probes_per_group_second"] =
        static_cast<double>(probes) /
        static_cast<double>(state.iterations() * static_cast<std::size_t>(state.range(0)));
}
BENCHMARK(idle_second)->RangeMultiplier(4)->Range(5, 1280)->Complexity(benchmark::oN);

/// Measures the monitor's work for one response to a statement in each group.
void ordinary_answer(benchmark::State& state) {
    const auto groups = make_groups(static_cast<std::size_t>(state.range(0)));
    auto now = epoch;
    std::size_t probes = 0;
    for (auto _ : state) {
        now += milliseconds{100};
        for (const auto& group : groups) {
            const auto actions = group->detector.on_response(group->primary, term_number{1}, now);
            for (const auto& action : actions) {
                const auto* probe = std::get_if<probe_instance>(&action);
                probes += probe != nullptr && probe->instance == group->primary ? 1 : 0;
            }
        }
    }
    state.SetComplexityN(state.range(0));
    state.counters["probes_of_primary"] = static_cast<double>(probes);
}
BENCHMARK(ordinary_answer)->RangeMultiplier(4)->Range(5, 1280)->Complexity(benchmark::oN);

/// Measures the heap bytes for each monitored group, including the allocator's overhead.
void memory_per_group(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        const auto groups = make_groups(count);
        for (const auto& group : groups) {
            run_second(*group, epoch);
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_per_group"] = bytes / static_cast<double>(count);
}
BENCHMARK(memory_per_group)->RangeMultiplier(4)->Range(5, 1280);

/// Measures a write from its execution to its outcome, together with other writes that wait for
/// the same confirmation.
void acknowledge_write(benchmark::State& state) {
    const auto ids = instances_of(0);
    const auto batch = static_cast<std::uint64_t>(state.range(0));
    acknowledgement_tracker tracker{ids};
    tracker.on_term(term_number{1}, ids[0], log_position{1}, epoch);
    std::uint64_t position = 1;
    auto now = epoch;
    std::size_t confirms = 0;
    for (auto _ : state) {
        now += milliseconds{10};
        for (std::uint64_t i = 0; i < batch; ++i) {
            ++position;
            const auto actions =
                tracker.on_write({write_number{position}, term_number{1}, log_position{position},
                                  log_position{position}, now + seconds{1}},
                                 now);
            confirms += actions.size();
        }
        benchmark::DoNotOptimize(tracker.on_confirm(
            {ids[1], term_number{1}, term_number{1}, log_position{position}}, now));
        benchmark::DoNotOptimize(tracker.on_confirm(
            {ids[2], term_number{1}, term_number{1}, log_position{position}}, now));
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * batch));
    state.counters["confirms_per_write"] =
        static_cast<double>(confirms) / static_cast<double>(state.iterations() * batch);
}
BENCHMARK(acknowledge_write)->RangeMultiplier(8)->Range(1, 4096);

/// Measures a new snapshot for a fleet with a number of groups.
void drain_snapshot(benchmark::State& state) {
    fleet_snapshot snapshot;
    for (std::size_t i = 0; i < static_cast<std::size_t>(state.range(0)); ++i) {
        const group_id id{fmt::format("group-{:04}", i)};
        auto& group = snapshot.config.groups[id];
        group.name = id;
        for (const auto& instance : instances_of(i)) {
            group.instances.push_back({instance, endpoint_address{"10.0.0.1:5432"},
                                       failure_domain_id{fmt::format("fd-{}", i % 7)}});
        }
        snapshot.groups[id] = record_of(i);
    }
    drain_controller controller{failure_domain_id{"fd-0"}};
    for (auto _ : state) {
        controller.on_snapshot(snapshot, epoch);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(drain_snapshot)->Arg(10)->Arg(100)->Arg(425)->Arg(850)->Complexity(benchmark::oN);

}  // namespace
