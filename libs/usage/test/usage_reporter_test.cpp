#include "masticgrade/usage/usage_reporter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fleet_model.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

/// Runs the fleet for some time, with operations of two customers through each host.
void run_with_work(fleet_model& fleet, milliseconds length) {
    for (milliseconds done{0}; done < length; done += seconds{1}) {
        for (std::size_t i = 0; i < fleet.members.size(); ++i) {
            fleet.work(i, "anna", 3);
            fleet.work(i, "parish", 1 + i % 2);
        }
        fleet.run(seconds{1});
    }
}

/// Windows that ended at least `before` ago and after `from`.
std::vector<window_number> windows_since(const fleet_model& fleet, wall_time from,
                                         milliseconds before) {
    std::vector<window_number> result;
    for (const auto& [window, counts] : fleet.truth) {
        if (end_of(window, fleet.settings.window) - fleet.settings.window >= from &&
            end_of(window, fleet.settings.window) + before <= fleet.wall()) {
            result.push_back(window);
        }
    }
    return result;
}

void check_reports(const fleet_model& fleet, wall_time from) {
    const auto windows = windows_since(fleet, from, fleet.settings.late);
    CHECK(!windows.empty());
    for (const auto window : windows) {
        CAPTURE(window.value());
        REQUIRE(fleet.platform.reports.contains(window));
        CHECK(fleet.platform.reports.at(window) == fleet.truth.at(window));
    }
    CHECK(fleet.platform.violations.empty());
}

}  // namespace

TEST_CASE("a calm fleet reports every window exactly and in time") {
    fleet_model fleet{5, 1};
    const auto started = fleet.wall();
    run_with_work(fleet, seconds{60});
    check_reports(fleet, started);
    for (const auto& [window, counts] : fleet.platform.reports) {
        const auto arrival =
            fleet.platform.arrived_at.at(window).time_since_epoch() - seconds{1000};
        const auto end = end_of(window, fleet.settings.window) - started;
        if (end > seconds{10}) {
            CHECK(arrival - end < milliseconds{4000});
        }
    }
}

// Guards against windows that are lost or reported differently when the reporting host dies.
TEST_CASE("another collector reports the windows after the holder's death") {
    for (unsigned death = 0; death < 50; ++death) {
        CAPTURE(death);
        fleet_model fleet{5, death};
        const auto started = fleet.wall();
        run_with_work(fleet, seconds{15});
        // Deaths at all phases of a window.
        fleet.run(milliseconds{100 * death});
        const auto holder = fleet.holder();
        REQUIRE(holder);
        fleet.run(seconds{1});
        fleet.kill(*holder);
        run_with_work(fleet, seconds{40});
        check_reports(fleet, started);
        CHECK(fleet.holder() != holder);
    }
}

// Guards against operations that are lost with the host that counted them.
TEST_CASE("the totals of hosts that died and restarted are reported") {
    fleet_model fleet{6, 2};
    const auto started = fleet.wall();
    run_with_work(fleet, seconds{12});
    fleet.run(seconds{1});
    fleet.kill(4);
    run_with_work(fleet, seconds{3});
    fleet.start(4);
    run_with_work(fleet, seconds{40});
    check_reports(fleet, started);
}

// Guards against a holder whose calls to the store are refused while it is alive.
TEST_CASE("a holder that the store refuses is replaced") {
    fleet_model fleet{5, 3};
    const auto started = fleet.wall();
    run_with_work(fleet, seconds{20});
    const auto holder = fleet.holder();
    REQUIRE(holder);
    fleet.members[*holder].is_refused = true;
    run_with_work(fleet, seconds{40});
    check_reports(fleet, started);
}

// Guards against reports with the counts of one host only, by a host that hears no other.
TEST_CASE("a host that is cut off from the others does not report its own counts only") {
    for (unsigned begin = 0; begin < 50; ++begin) {
        CAPTURE(begin);
        fleet_model fleet{5, begin};
        const auto started = fleet.wall();
        run_with_work(fleet, seconds{20});
        fleet.run(milliseconds{100 * begin});
        const auto holder = fleet.holder();
        REQUIRE(holder);
        fleet.members[*holder].is_cut_off = true;
        run_with_work(fleet, seconds{40});
        CHECK(fleet.platform.violations.empty());
        const customer_id anna{"anna"};
        for (const auto window : windows_since(fleet, started, fleet.settings.late)) {
            CAPTURE(window.value());
            REQUIRE(fleet.platform.reports.contains(window));
            const auto& counts = fleet.platform.reports.at(window);
            REQUIRE(counts.contains(anna));
            CHECK(2 * counts.at(anna) > fleet.truth.at(window).at(anna));
        }
    }
}

// Guards against a holder that keeps the lock while it reaches the store and not the platform.
TEST_CASE("a holder that does not reach the platform is replaced") {
    for (unsigned begin = 0; begin < 50; ++begin) {
        CAPTURE(begin);
        fleet_model fleet{5, begin};
        run_with_work(fleet, seconds{20});
        fleet.run(milliseconds{100 * begin});
        const auto holder = fleet.holder();
        REQUIRE(holder);
        fleet.members[*holder].misses_platform = true;
        run_with_work(fleet, seconds{15});
        const auto replaced = fleet.wall();
        run_with_work(fleet, seconds{40});
        check_reports(fleet, replaced);
    }
}

// Guards against a report that is computed again after its answer was lost.
TEST_CASE("reports whose answers are lost are repeated unchanged") {
    fleet_model fleet{5, 4};
    const auto started = fleet.wall();
    fleet.lost_answers = 0.3;
    run_with_work(fleet, seconds{90});
    fleet.lost_answers = 0;
    run_with_work(fleet, seconds{15});
    CHECK(fleet.platform.violations.empty());
    const auto windows = windows_since(fleet, started, fleet.settings.late);
    for (const auto window : windows) {
        if (fleet.platform.reports.contains(window)) {
            CHECK(fleet.platform.reports.at(window) == fleet.truth.at(window));
        }
    }
    CHECK(fleet.platform.reports.size() + 2 >= windows.size());
}

// Guards against a second, different report when the store forgets that a window was reported.
TEST_CASE("no window is reported twice after the store was restored and the holder died") {
    fleet_model fleet{5, 5};
    run_with_work(fleet, seconds{20});
    fleet.store.copy();
    run_with_work(fleet, seconds{15});
    const auto reported = fleet.platform.reports.size();
    const auto holder = fleet.holder();
    REQUIRE(holder);
    fleet.store.restore();
    fleet.kill(*holder);
    // The counts of a window differ if it is computed again.
    fleet.members[(*holder + 1) % 5].counter->count(customer_id{"anna"}, fleet.wall() - seconds{8});
    const auto restored = fleet.wall();
    run_with_work(fleet, seconds{40});
    CHECK(fleet.platform.violations.empty());
    CHECK(fleet.platform.reports.size() >= reported + 5);
    check_reports(fleet, restored + seconds{10});
}

// Guards against a token that is used again because the record with it was lost.
TEST_CASE("a restore without a copy of the record does not lower the token") {
    fleet_model fleet{4, 6};
    fleet.store.copy();
    run_with_work(fleet, seconds{20});
    fleet.store.restore();
    const auto restored = fleet.wall();
    run_with_work(fleet, seconds{40});
    check_reports(fleet, restored + seconds{10});
}

// Guards against a fleet that stops reporting when the row cannot be decoded.
TEST_CASE("an unreadable record is replaced under a higher token") {
    fleet_model fleet{4, 7};
    run_with_work(fleet, seconds{20});
    fleet.store.overwrite("{\"holder\":7}");
    const auto replaced = fleet.wall();
    run_with_work(fleet, seconds{40});
    check_reports(fleet, replaced + seconds{10});
}

// Guards against windows that are given up although their reports can arrive in time.
TEST_CASE("the windows of a short outage of the store are reported") {
    for (unsigned begin = 0; begin < 50; ++begin) {
        CAPTURE(begin);
        fleet_model fleet{5, begin};
        const auto started = fleet.wall();
        run_with_work(fleet, seconds{22});
        fleet.run(milliseconds{100 * begin});
        fleet.stop_store(milliseconds{4500});
        run_with_work(fleet, seconds{40});
        check_reports(fleet, started);
    }
}

// Guards against reports that pile up during an outage and are all sent late.
TEST_CASE("the windows of a long outage are given up and later ones are reported") {
    fleet_model fleet{5, 8};
    run_with_work(fleet, seconds{22});
    fleet.stop_store(seconds{30});
    run_with_work(fleet, seconds{30});
    const auto back = fleet.wall();
    run_with_work(fleet, seconds{40});
    check_reports(fleet, back);
    CHECK(fleet.platform.reports.size() <= 14);
}

// Guards against broken rules in combinations of faults that no scenario lists.
TEST_CASE("no mix of faults breaks a rule of the reports") {
    CHECK(rc::check([](std::uint32_t seed, bool is_fencing) {
        fleet_model fleet{3 + seed % 4, seed, is_fencing};
        fleet.set_fault_probability(0.03);
        run_with_work(fleet, seconds{120});
        fleet.heal();
        run_with_work(fleet, seconds{30});
        for (const auto& violation : fleet.platform.violations) {
            RC_FAIL(violation);
        }
        const auto healed = fleet.wall();
        run_with_work(fleet, seconds{30});
        const auto windows = windows_since(fleet, healed, fleet.settings.late);
        RC_ASSERT(!windows.empty());
        for (const auto window : windows) {
            RC_ASSERT(fleet.platform.reports.contains(window));
            RC_ASSERT(fleet.platform.reports.at(window) == fleet.truth.at(window));
        }
        RC_ASSERT(fleet.platform.violations.empty());
    }));
}
