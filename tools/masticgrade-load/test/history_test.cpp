#include "history.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;
using namespace masticgrade::load;
namespace json = boost::json;

namespace {

json::value take(const char* key) { return {{"op", "take"}, {"key", key}}; }

json::value entry(const char* customer, const char* key, json::array statements) {
    return {
        {"customer", customer}, {"idempotency_key", key}, {"statements", std::move(statements)}};
}

write_record write(outcome result, json::array statements) {
    return {.id = 1,
            .customer = "north",
            .route = "r",
            .idempotency_key = "k1",
            .statements = std::move(statements),
            .result = result};
}

std::size_t violations(const std::vector<write_record>& history, json::array log) {
    return check_writes(history, {{"r", std::move(log)}}, "run/").size();
}

}  // namespace

// Guards against a checker that overlooks a lost, doubled, foreign or wrongly refused booking.
TEST_CASE("the log must hold exactly what was acknowledged") {
    const json::array seat{take("run/1")};
    const auto good = entry("north", "k1", seat);
    CHECK(violations({write(outcome::done, seat)}, {good}) == 0);
    CHECK(violations({write(outcome::done, seat)}, {}) == 1);
    CHECK(violations({write(outcome::done, seat)}, {good, entry("north", "", seat)}) == 1);
    CHECK(violations({write(outcome::not_run, seat)}, {}) == 0);
    CHECK(violations({write(outcome::not_run, seat)}, {good}) == 1);
    CHECK(violations({write(outcome::unknown, seat)}, {good}) == 0);
    CHECK(violations({write(outcome::unknown, seat)}, {}) == 0);
    CHECK(violations({}, {good}) == 1);
    CHECK(violations({}, {entry("north", "k1", json::array{take("other/1")})}) == 0);
    // Booked under another customer's name: missing there, unknown here.
    CHECK(violations({write(outcome::done, seat)}, {entry("south", "k1", seat)}) == 2);
}

// Guards against a checker that overlooks statements of two transactions in one entry.
TEST_CASE("an entry must hold the statements of one write only") {
    const json::array seats{take("run/1"), take("run/2")};
    CHECK(violations({write(outcome::done, seats)}, {entry("north", "k1", seats)}) == 0);
    CHECK(violations({write(outcome::done, seats)},
                     {entry("north", "k1", json::array{take("run/1")}),
                      entry("north", "k2", json::array{take("run/2")})}) == 1);
}

// Guards against a checker that accepts a stale read or another request's answer.
TEST_CASE("a read must show its row at or past the acknowledged number") {
    const auto result = [](const char* key, int number) -> json::value {
        return {{"key", key}, {"value", {{"n", number}}}};
    };
    const read_expectation expected{.key = "run/s", .at_least = 3, .at_most = 5};
    CHECK(check_read(expected, result("run/s", 3)).empty());
    CHECK(check_read(expected, result("run/s", 5)).empty());
    CHECK(!check_read(expected, result("run/s", 2)).empty());
    CHECK(!check_read(expected, result("run/s", 6)).empty());
    CHECK(!check_read(expected, result("run/t", 4)).empty());
    CHECK(!check_read(expected, {{"key", "run/s"}, {"value", nullptr}}).empty());
    CHECK(!check_read(expected, nullptr).empty());
    const read_expectation nothing_yet{.key = "run/s", .at_least = 0, .at_most = 1};
    CHECK(check_read(nothing_yet, {{"key", "run/s"}, {"value", nullptr}}).empty());
}

// Guards against a rate check that misses an excess within a short interval.
TEST_CASE("the excess over the rate is found in short and long intervals") {
    std::vector<admitted_statement> even;
    for (int i = 0; i < 100; ++i) {
        const auto at = time_point{} + milliseconds{100} * i;
        even.push_back({at, at + milliseconds{1}});
    }
    CHECK(largest_excess(even, 10, 2) <= 0);
    CHECK(largest_excess(even, 5, 2) > 40);
    auto rush = even;
    for (int i = 0; i < 10; ++i) {
        rush.push_back({time_point{} + seconds{5}, time_point{} + seconds{5}});
    }
    CHECK(largest_excess(rush, 10, 2) > 5);
    CHECK(largest_excess({}, 10, 2) < 0);
}
