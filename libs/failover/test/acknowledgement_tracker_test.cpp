#include "masticgrade/failover/acknowledgement_tracker.hpp"

#include <doctest/doctest.h>

#include "masticgrade/failover/group_health.hpp"

using namespace masticgrade;

namespace {

constexpr time_point start_time{seconds{100}};
const instance_id primary{"i0"};
const instance_id replica{"i1"};
const instance_id other_replica{"i2"};

acknowledgement_tracker active_group() {
    acknowledgement_tracker tracker{{primary, replica, other_replica}};
    tracker.on_term(term_number{2}, primary, log_position{10}, start_time);
    return tracker;
}

pending_write write_at(std::uint64_t number, std::uint64_t position) {
    return {write_number{number}, term_number{2}, log_position{position}, log_position{position},
            start_time + seconds{1}};
}

std::vector<write_resolved> resolved(const acknowledgement_actions& actions) {
    std::vector<write_resolved> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<write_resolved>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

}  // namespace

// Guards against one confirm request for each write, which would double the statements of the
// group.
TEST_CASE("pending writes share one confirm request in flight for each replica") {
    auto tracker = active_group();
    std::size_t confirms = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        confirms += tracker.on_write(write_at(i, 11 + i), start_time).size();
    }
    CHECK(confirms == 2);
    const auto actions =
        tracker.on_confirm({replica, term_number{2}, term_number{2}, log_position{60}}, start_time);
    CHECK(resolved(actions).size() == 50);
    // The next request to the same replica is for the highest position.
    REQUIRE(actions.size() == 51);
    CHECK(std::get<send_confirm>(actions.back()).position == log_position{110});
}

// Guards against acknowledging a repeated result of an older term that a log with a higher last
// term may lack.
TEST_CASE("a write below the start position is confirmed at the start position") {
    auto tracker = active_group();
    tracker.on_write({write_number{1}, term_number{2}, log_position{4}, log_position{10},
                      start_time + seconds{1}},
                     start_time);
    CHECK(resolved(tracker.on_confirm({replica, term_number{2}, term_number{2}, log_position{9}},
                                      start_time))
              .empty());
    const auto confirmed = resolved(tracker.on_confirm(
        {replica, term_number{2}, term_number{2}, log_position{10}}, start_time));
    REQUIRE(confirmed.size() == 1);
    CHECK(confirmed.front().outcome == write_outcome::acknowledged);
}

// Guards against taking the log of an older term on a sealed instance for a confirmation.
TEST_CASE("an instance whose last entry is of an older term confirms nothing") {
    auto tracker = active_group();
    tracker.on_write(write_at(1, 11), start_time);
    CHECK(resolved(tracker.on_confirm({replica, term_number{2}, term_number{1}, log_position{99}},
                                      start_time))
              .empty());
}

// Guards against callers that wait for a majority that can no longer confirm the write.
TEST_CASE("each pending write gets exactly one outcome") {
    auto tracker = active_group();
    tracker.on_write(write_at(1, 11), start_time);
    const auto timed_out = resolved(tracker.on_time(start_time + seconds{1}));
    REQUIRE(timed_out.size() == 1);
    CHECK(timed_out.front().outcome == write_outcome::timed_out);
    CHECK_FALSE(tracker.next_wakeup());

    tracker.on_write(write_at(2, 12), start_time);
    tracker.on_confirm({replica, term_number{3}, term_number{1}, log_position{9}}, start_time);
    const auto stale = resolved(tracker.on_confirm(
        {other_replica, term_number{3}, term_number{1}, log_position{9}}, start_time));
    REQUIRE(stale.size() == 1);
    CHECK(stale.front().outcome == write_outcome::stale_term);

    auto next = active_group();
    next.on_write(write_at(3, 13), start_time);
    CHECK(resolved(next.on_newer_term(term_number{3}, start_time)).size() == 1);
    CHECK(resolved(next.on_write(write_at(4, 14), start_time)).front().outcome ==
          write_outcome::stale_term);
}

// Guards against routing based on a response that a slow connection delayed.
TEST_CASE("group health keeps the newest response and adds its age to the staleness") {
    group_health health{{primary, replica}};
    const auto progress = [&](std::uint64_t applied, milliseconds at) {
        return instance_progress{replica, term_number{2}, log_position{applied},
                                 log_position{applied}, start_time + at};
    };
    health.on_progress(progress(100, milliseconds{0}));
    health.on_progress(progress(200, milliseconds{100}));
    health.on_progress(progress(150, milliseconds{50}));
    CHECK(health.find(replica)->applied == log_position{200});
    // 1000 entries per second, weighted by one quarter.
    CHECK(health.expected_applied(replica, start_time + milliseconds{120}) == log_position{205});

    health.on_state({progress(210, milliseconds{110}), instance_role::replica, term_number{2},
                     milliseconds{40}});
    CHECK(health.staleness_bound(replica, start_time + milliseconds{310}) == milliseconds{240});
    CHECK_FALSE(health.staleness_bound(primary, start_time));
    CHECK(health.due_for_state(milliseconds{100}, start_time + milliseconds{150}) ==
          std::vector<instance_id>{primary});

    health.on_unreachable(replica, start_time + milliseconds{105});
    CHECK(health.find(replica)->reachable);
    health.on_unreachable(replica, start_time + milliseconds{120});
    CHECK_FALSE(health.find(replica)->reachable);
}
