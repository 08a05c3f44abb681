#include "masticgrade/failover/failure_detector.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticgrade;

namespace {

const host_id first{"h0"};
const host_id second{"h1"};
const host_id third{"h2"};
const instance_id primary{"i0"};
const instance_id replica{"i1"};

group_record active_record(std::uint64_t term) {
    group_record record;
    record.version = fleet_version{10 * term};
    record.term = term_number{term};
    record.primary = primary;
    return record;
}

template <class Action>
std::size_t count(const detector_actions& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(),
                      [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

/// Runs one detector under a clock that moves in steps of 10 ms.
struct bench {
    explicit bench(const host_id& self) : detector(self, {}) {
        keep(detector.on_monitors({first, second, third}, now));
        keep(detector.on_group({primary, replica}, active_record(1), now));
    }
    void keep(const detector_actions& actions) {
        all.insert(all.end(), actions.begin(), actions.end());
    }
    void pass(milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            keep(detector.on_time(now));
        }
    }
    /// Time until the first promotion, while `other` reports its suspicion.
    milliseconds time_to_promotion(const host_id& other, std::uint64_t term) {
        const auto begin = now;
        while (count<start_promotion>(all) == 0 && now - begin < seconds{20}) {
            keep(detector.on_suspicion(other, term_number{term}, true, now));
            pass(milliseconds{10});
        }
        return std::chrono::duration_cast<milliseconds>(now - begin);
    }

    time_point now{seconds{100}};
    failure_detector detector;
    detector_actions all;
};

}  // namespace

// Guards against a probe load that ordinary answers do not take away.
TEST_CASE("the primary is probed every 250 ms unless an answer arrived") {
    bench quiet{second};
    quiet.pass(milliseconds{700});
    CHECK(count<probe_instance>(quiet.all) == 3);

    bench busy{second};
    busy.all.clear();
    for (int i = 0; i < 20; ++i) {
        busy.keep(busy.detector.on_response(primary, term_number{1}, busy.now));
        busy.pass(milliseconds{100});
    }
    CHECK(count<probe_instance>(busy.all) == 0);
    CHECK_FALSE(busy.detector.suspects_primary());
}

// Guards against a failover that one monitor with a broken path could cause.
TEST_CASE("one monitor alone starts no promotion") {
    bench alone{first};
    alone.pass(seconds{10});
    CHECK(alone.detector.suspects_primary());
    CHECK(count<report_suspicion>(alone.all) > 10);
    CHECK(count<start_promotion>(alone.all) == 0);
}

// Guards against slow detection, and against all monitors starting a promotion together.
TEST_CASE("agreeing monitors start in rank order, 600 ms apart") {
    bench at_first{first};
    CHECK(at_first.time_to_promotion(second, 1) <= milliseconds{820});
    bench at_second{second};
    const auto second_time = at_second.time_to_promotion(first, 1);
    CHECK(second_time >= milliseconds{1390});
    CHECK(second_time <= milliseconds{1420});
    bench first_lost{second};
    first_lost.keep(first_lost.detector.on_monitor_reachable(first, false, first_lost.now));
    CHECK(first_lost.time_to_promotion(third, 1) <= milliseconds{820});
}

// Guards against a failover loop, and against a dead new primary that failover_cooldown would
// protect.
TEST_CASE("failover_cooldown holds a second promotion back, but not for a silent new primary") {
    bench answered{first};
    answered.keep(answered.detector.on_group({primary, replica}, active_record(2), answered.now));
    for (int i = 0; i < 25; ++i) {
        answered.keep(answered.detector.on_response(primary, term_number{2}, answered.now));
        answered.pass(milliseconds{100});
    }
    const auto after_answers = answered.time_to_promotion(second, 2);
    CHECK(after_answers >= milliseconds{1800});
    CHECK(after_answers <= milliseconds{2000});

    bench silent{first};
    silent.keep(silent.detector.on_group({primary, replica}, active_record(2), silent.now));
    const auto from_start = silent.time_to_promotion(second, 2);
    CHECK(from_start >= milliseconds{1990});
    CHECK(from_start <= milliseconds{2020});
}

// Guards against a failover caused by the monitor's own pause.
TEST_CASE("a pause of the monitor is not silence of the primary") {
    bench paused{first};
    paused.pass(milliseconds{300});
    paused.now += seconds{30};
    paused.keep(paused.detector.on_suspicion(second, term_number{1}, true, paused.now));
    paused.pass(milliseconds{500});
    CHECK_FALSE(paused.detector.suspects_primary());
    CHECK(count<start_promotion>(paused.all) == 0);
}

// Guards against a group that stays sealed because its coordinator died, and against a store that
// is flooded by attempts without a majority.
TEST_CASE("a stalled attempt is taken over after 1.5 s, then ever more slowly") {
    bench stalled{first};
    std::vector<milliseconds> waits;
    for (std::uint64_t term = 2; term < 6; ++term) {
        auto record = active_record(term);
        record.phase = group_phase::sealing;
        record.primary = {};
        stalled.all.clear();
        stalled.keep(stalled.detector.on_group({primary, replica}, record, stalled.now));
        waits.push_back(stalled.time_to_promotion(second, 1));
        stalled.keep(stalled.detector.on_attempt_ended(stalled.now - seconds{0}));
    }
    CHECK(waits == std::vector<milliseconds>{milliseconds{1500}, milliseconds{1500},
                                             milliseconds{3000}, milliseconds{6000}});
}

// Guards against a group whose returned replica never follows again, so that the next failure
// leaves no majority.
TEST_CASE("a replica of an older term is told to follow") {
    bench repairing{first};
    repairing.keep(
        repairing.detector.on_group({primary, replica}, active_record(2), repairing.now));
    const instance_progress old{replica, term_number{1}, log_position{9}, log_position{9},
                                repairing.now};
    const auto actions = repairing.detector.on_state(
        {old, instance_role::primary, term_number{1}, milliseconds{0}}, repairing.now);
    REQUIRE(count<repair_follower>(actions) == 1);
    const auto& repair = std::get<repair_follower>(actions.back());
    CHECK(repair.primary == primary);
    CHECK(repair.term == term_number{2});
}

// Guards against a primary that came back as a replica and is taken for a working one.
TEST_CASE("a primary that answers in another role is as good as silent") {
    bench demoted{first};
    for (int i = 0; i < 10; ++i) {
        const instance_progress progress{primary, term_number{1}, log_position{9}, log_position{9},
                                         demoted.now};
        demoted.keep(demoted.detector.on_state(
            {progress, instance_role::sealed, term_number{1}, milliseconds{0}}, demoted.now));
        demoted.pass(milliseconds{100});
    }
    CHECK(demoted.detector.suspects_primary());
}
