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
std::size_t count_actions(const detector_actions& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(),
                      [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

/// Runs one detector with a clock that advances in steps of 10 ms.
struct detector_run {
    explicit detector_run(const host_id& self) : detector(self, {}) {
        collect(detector.on_monitors({first, second, third}, now));
        collect(detector.on_group({primary, replica}, active_record(1), now));
    }
    void collect(const detector_actions& actions) {
        actions_taken.insert(actions_taken.end(), actions.begin(), actions.end());
    }
    void advance(milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            collect(detector.on_time(now));
        }
    }
    /// Time until the first promotion, while `other` reports its suspicion.
    milliseconds time_to_promotion(const host_id& other, std::uint64_t term) {
        const auto begin = now;
        while (count_actions<start_promotion>(actions_taken) == 0 && now - begin < seconds{20}) {
            collect(detector.on_suspicion(other, term_number{term}, true, now));
            advance(milliseconds{10});
        }
        return std::chrono::duration_cast<milliseconds>(now - begin);
    }

    time_point now{seconds{100}};
    failure_detector detector;
    detector_actions actions_taken;
};

}  // namespace

// Guards against probes that are unnecessary because other responses arrive.
TEST_CASE("the primary is probed every 250 ms unless a response arrived") {
    detector_run idle{second};
    idle.advance(milliseconds{700});
    CHECK(count_actions<probe_instance>(idle.actions_taken) == 3);

    detector_run busy{second};
    busy.actions_taken.clear();
    for (int i = 0; i < 20; ++i) {
        busy.collect(busy.detector.on_response(primary, term_number{1}, busy.now));
        busy.advance(milliseconds{100});
    }
    CHECK(count_actions<probe_instance>(busy.actions_taken) == 0);
    CHECK_FALSE(busy.detector.suspects_primary());
}

// Guards against a failover caused by a single monitor with a broken network path.
TEST_CASE("one monitor alone starts no promotion") {
    detector_run alone{first};
    alone.advance(seconds{10});
    CHECK(alone.detector.suspects_primary());
    CHECK(count_actions<report_suspicion>(alone.actions_taken) > 10);
    CHECK(count_actions<start_promotion>(alone.actions_taken) == 0);
}

// Guards against slow detection, and against monitors that start promotions at the same time.
TEST_CASE("agreeing monitors start in rank order, 600 ms apart") {
    detector_run at_first{first};
    CHECK(at_first.time_to_promotion(second, 1) <= milliseconds{820});
    detector_run at_second{second};
    const auto second_time = at_second.time_to_promotion(first, 1);
    CHECK(second_time >= milliseconds{1390});
    CHECK(second_time <= milliseconds{1420});
    detector_run first_lost{second};
    first_lost.collect(first_lost.detector.on_monitor_reachable(first, false, first_lost.now));
    CHECK(first_lost.time_to_promotion(third, 1) <= milliseconds{820});
}

// Guards against a failover loop, and against a failed new primary that the cooldown protects from
// replacement.
TEST_CASE("the cooldown delays a second promotion unless the new primary does not respond") {
    detector_run responsive{first};
    responsive.collect(
        responsive.detector.on_group({primary, replica}, active_record(2), responsive.now));
    for (int i = 0; i < 25; ++i) {
        responsive.collect(
            responsive.detector.on_response(primary, term_number{2}, responsive.now));
        responsive.advance(milliseconds{100});
    }
    const auto after_responses = responsive.time_to_promotion(second, 2);
    CHECK(after_responses >= milliseconds{1800});
    CHECK(after_responses <= milliseconds{2000});

    detector_run unresponsive{first};
    unresponsive.collect(
        unresponsive.detector.on_group({primary, replica}, active_record(2), unresponsive.now));
    const auto since_change = unresponsive.time_to_promotion(second, 2);
    CHECK(since_change >= milliseconds{1990});
    CHECK(since_change <= milliseconds{2020});
}

// Guards against a failover caused by the suspension of the monitor itself.
TEST_CASE("time during which the monitor is suspended does not count against the primary") {
    detector_run paused{first};
    paused.advance(milliseconds{300});
    paused.now += seconds{30};
    paused.collect(paused.detector.on_suspicion(second, term_number{1}, true, paused.now));
    paused.advance(milliseconds{500});
    CHECK_FALSE(paused.detector.suspects_primary());
    CHECK(count_actions<start_promotion>(paused.actions_taken) == 0);
}

// Guards against a group that stays sealed because its coordinator failed, and against a store that
// is overloaded by attempts without a majority.
TEST_CASE("a stalled attempt is taken over after 1.5 s, with increasing delays") {
    detector_run stalled{first};
    std::vector<milliseconds> waits;
    for (std::uint64_t term = 2; term < 6; ++term) {
        auto record = active_record(term);
        record.phase = group_phase::sealing;
        record.primary = {};
        stalled.actions_taken.clear();
        stalled.collect(stalled.detector.on_group({primary, replica}, record, stalled.now));
        waits.push_back(stalled.time_to_promotion(second, 1));
        stalled.collect(stalled.detector.on_attempt_ended(stalled.now - seconds{0}));
    }
    CHECK(waits == std::vector<milliseconds>{milliseconds{1500}, milliseconds{1500},
                                             milliseconds{3000}, milliseconds{6000}});
}

// Guards against a restarted replica that never follows again, so that the next failure leaves no
// majority.
TEST_CASE("a replica with an older term gets a follow request") {
    detector_run repairing{first};
    repairing.collect(
        repairing.detector.on_group({primary, replica}, active_record(2), repairing.now));
    const instance_progress old{replica, term_number{1}, log_position{9}, log_position{9},
                                repairing.now};
    const auto actions = repairing.detector.on_state(
        {old, instance_role::primary, term_number{1}, milliseconds{0}}, repairing.now);
    REQUIRE(count_actions<repair_follower>(actions) == 1);
    const auto& repair = std::get<repair_follower>(actions.back());
    CHECK(repair.primary == primary);
    CHECK(repair.term == term_number{2});
}

// Guards against a primary that restarted in another role and is taken for a working primary.
TEST_CASE("a primary that responds in another role is suspected") {
    detector_run demoted{first};
    for (int i = 0; i < 10; ++i) {
        const instance_progress progress{primary, term_number{1}, log_position{9}, log_position{9},
                                         demoted.now};
        demoted.collect(demoted.detector.on_state(
            {progress, instance_role::sealed, term_number{1}, milliseconds{0}}, demoted.now));
        demoted.advance(milliseconds{100});
    }
    CHECK(demoted.detector.suspects_primary());
}
