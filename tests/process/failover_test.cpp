#include <doctest/doctest.h>

#include "test_fleet.hpp"

using namespace masticgrade;
using namespace masticgrade::process_test;
namespace json = boost::json;

namespace {

std::uint64_t term_of(const test_fleet& fleet) {
    return fleet.row("fleet/groups/ledger").at("term").to_number<std::uint64_t>();
}

/// The terms of a log never fall, and each begins with exactly one start entry.
void check_terms(const json::array& log) {
    std::uint64_t term = 0;
    for (const auto& entry : log) {
        const auto next = entry.at("term").to_number<std::uint64_t>();
        CHECK(next >= term);
        CHECK((entry.at("kind") == "start") == (next > term));
        term = next;
    }
}

/// Isolates the primary for longer than a change of primary may take, and then heals the partition.
void check_isolation(const char* scenario, std::uint64_t clients_pass) {
    test_fleet fleet({.scenario = scenario});
    background_load load(fleet.load(seconds{15}));
    pause(seconds{2});
    fleet.instance_fault(0, "isolated", true, clients_pass);
    // Answers that were on their way when the partition began have arrived by then.
    pause(seconds{1});
    const auto isolated_since = steady_clock::now();
    pause(seconds{8});
    const auto healed_at = steady_clock::now();
    fleet.instance_fault(0, "isolated", false);
    const auto result = load.finish();
    CHECK(acknowledged_after(result, isolated_since) > acknowledged_after(result, healed_at));
    CHECK(acknowledged_after(result, healed_at) > 0);
    CHECK(term_of(fleet) > 1);
    check_terms(fleet.log());
}

}  // namespace

// Guards against acknowledged bookings that are lost with the primary, and against a group that
// never gets a new one.
TEST_CASE("primary_killed: acknowledged bookings survive and bookings continue") {
    test_fleet fleet({.scenario = "primary_killed"});
    background_load load(fleet.load(seconds{10}));
    pause(seconds{2});
    fleet.instance(0).kill();
    pause(seconds{1});
    const auto killed_since = steady_clock::now();
    const auto result = load.finish();
    CHECK(acknowledged_after(result, killed_since) > 0);
    CHECK(term_of(fleet) > 1);
    check_terms(fleet.log());
}

// Guards against an isolated primary that acknowledges bookings beside the new one, and against a
// group that waits for the end of the partition.
TEST_CASE("primary_isolated: bookings continue while the primary reaches clients only") {
    constexpr std::uint64_t clients_get_through = 1;
    check_isolation("primary_isolated", clients_get_through);
}

// As above for a primary that clients cannot reach either: its connections stay open and silent.
TEST_CASE("primary_unreachable: bookings continue while the primary reaches nobody") {
    constexpr std::uint64_t nobody_gets_through = 0;
    check_isolation("primary_unreachable", nobody_gets_through);
}

// Guards against a promotion that is lost or repeated when the store's answer is lost.
TEST_CASE("store_answer_lost: a promotion is neither lost nor made twice") {
    test_fleet fleet({.scenario = "store_answer_lost"});
    background_load load(fleet.load(seconds{10}));
    pause(seconds{2});
    fleet.platform_fault("lose_answers", true, 2);
    fleet.instance(0).kill();
    pause(seconds{1});
    const auto killed_since = steady_clock::now();
    const auto result = load.finish();
    CHECK(acknowledged_after(result, killed_since) > 0);
    check_terms(fleet.log());
    CHECK(fleet.row("fleet/groups/ledger").at("phase") == "active");
}

// Guards against a booking that is lost or doubled when the database's answer is lost.
TEST_CASE("database_answers_lost: every booking has one certain outcome") {
    test_fleet fleet({.scenario = "database_answers_lost"});
    auto options = fleet.load(seconds{6});
    options.mix.unkeyed = 0;
    background_load load(std::move(options));
    for (int i = 0; i < 10; ++i) {
        pause(milliseconds{400});
        fleet.instance_fault(0, "lose_answers", true, 2);
    }
    fleet.instance_fault(0, "lose_answers", true, 1);
    CHECK(fleet.book_until_done(0, "lost-answer").outcome == "done");
    CHECK(fleet.times_taken("lost-answer") == 1);
    load.finish();
}
