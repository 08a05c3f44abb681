#include "masticgrade/failover/acknowledgement_tracker.hpp"

#include <doctest/doctest.h>

#include "masticgrade/failover/group_health.hpp"

using namespace masticgrade;

namespace {

constexpr time_point begin{seconds{100}};
const instance_id primary{"i0"};
const instance_id replica{"i1"};
const instance_id other{"i2"};

acknowledgement_tracker active_group() {
    acknowledgement_tracker writes{{primary, replica, other}};
    writes.on_term(term_number{2}, primary, log_position{10}, begin);
    return writes;
}

pending_write write_at(std::uint64_t number, std::uint64_t position) {
    return {write_number{number}, term_number{2}, log_position{position}, log_position{position},
            begin + seconds{1}};
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

// Guards against one confirm for each write, which would double the statements of the group.
TEST_CASE("many pending writes share one outstanding confirm for each replica") {
    auto writes = active_group();
    std::size_t confirms = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        confirms += writes.on_write(write_at(i, 11 + i), begin).size();
    }
    CHECK(confirms == 2);
    const auto actions =
        writes.on_confirm({replica, term_number{2}, term_number{2}, log_position{60}}, begin);
    CHECK(resolved(actions).size() == 50);
    // The next confirm to the same replica asks for the highest position.
    REQUIRE(actions.size() == 51);
    CHECK(std::get<send_confirm>(actions.back()).position == log_position{110});
}

// Guards against a replayed result of an older term that a log with a higher last term could drop.
TEST_CASE("a write below the start position waits for the start position") {
    auto writes = active_group();
    writes.on_write(
        {write_number{1}, term_number{2}, log_position{4}, log_position{10}, begin + seconds{1}},
        begin);
    CHECK(resolved(
              writes.on_confirm({replica, term_number{2}, term_number{2}, log_position{9}}, begin))
              .empty());
    const auto done = resolved(
        writes.on_confirm({replica, term_number{2}, term_number{2}, log_position{10}}, begin));
    REQUIRE(done.size() == 1);
    CHECK(done.front().outcome == write_outcome::acknowledged);
}

// Guards against the log of an older term on a sealed instance being taken for the write.
TEST_CASE("an instance whose last entry is of an older term confirms nothing") {
    auto writes = active_group();
    writes.on_write(write_at(1, 11), begin);
    CHECK(resolved(
              writes.on_confirm({replica, term_number{2}, term_number{1}, log_position{99}}, begin))
              .empty());
}

// Guards against callers that wait for a majority that cannot come any more.
TEST_CASE("each pending write gets exactly one outcome") {
    auto writes = active_group();
    writes.on_write(write_at(1, 11), begin);
    const auto late = resolved(writes.on_time(begin + seconds{1}));
    REQUIRE(late.size() == 1);
    CHECK(late.front().outcome == write_outcome::timed_out);
    CHECK_FALSE(writes.next_wakeup());

    writes.on_write(write_at(2, 12), begin);
    writes.on_confirm({replica, term_number{3}, term_number{1}, log_position{9}}, begin);
    const auto stale = resolved(
        writes.on_confirm({other, term_number{3}, term_number{1}, log_position{9}}, begin));
    REQUIRE(stale.size() == 1);
    CHECK(stale.front().outcome == write_outcome::stale_term);

    auto next = active_group();
    next.on_write(write_at(3, 13), begin);
    CHECK(resolved(next.on_newer_term(term_number{3}, begin)).size() == 1);
    CHECK(resolved(next.on_write(write_at(4, 14), begin)).front().outcome ==
          write_outcome::stale_term);
}

// Guards against routing by an answer that a slow connection delivered late.
TEST_CASE("group health keeps the newest answer and grows the staleness with its age") {
    group_health health{{primary, replica}};
    const auto progress = [&](std::uint64_t applied, milliseconds at) {
        return instance_progress{replica, term_number{2}, log_position{applied},
                                 log_position{applied}, begin + at};
    };
    health.on_progress(progress(100, milliseconds{0}));
    health.on_progress(progress(200, milliseconds{100}));
    health.on_progress(progress(150, milliseconds{50}));
    CHECK(health.find(replica)->applied == log_position{200});
    // 1000 entries per second, weighted by one quarter.
    CHECK(health.expected_applied(replica, begin + milliseconds{120}) == log_position{205});

    health.on_state({progress(210, milliseconds{110}), instance_role::replica, term_number{2},
                     milliseconds{40}});
    CHECK(health.staleness_bound(replica, begin + milliseconds{310}) == milliseconds{240});
    CHECK_FALSE(health.staleness_bound(primary, begin));
    CHECK(health.due_for_state(milliseconds{100}, begin + milliseconds{150}) ==
          std::vector<instance_id>{primary});

    health.on_unreachable(replica, begin + milliseconds{105});
    CHECK(health.find(replica)->reachable);
    health.on_unreachable(replica, begin + milliseconds{120});
    CHECK_FALSE(health.find(replica)->reachable);
}
