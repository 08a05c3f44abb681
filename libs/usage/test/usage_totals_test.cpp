#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "masticgrade/usage/usage_collector.hpp"
#include "masticgrade/usage/usage_record.hpp"

using namespace masticgrade;

namespace {

constexpr milliseconds window_length{5000};
const wall_time start{seconds{1'790'000'000}};
const customer_id anna{"anna"};
const customer_id parish{"parish"};
const host_id host{"host-1"};
const host_id collector_host{"host-2"};

collector_candidate candidate(const std::string& name, const std::string& domain, unsigned link) {
    return {host_id{name}, failure_domain_id{domain}, link};
}

}  // namespace

TEST_CASE("windows begin at multiples of their length after 1970") {
    const auto window = window_at(start, window_length);
    CHECK(window == window_number{358'000'000});
    CHECK(end_of(window, window_length) == start + seconds{5});
    CHECK(window_at(start + milliseconds{4999}, window_length) == window);
    CHECK(window_at(start + milliseconds{5000}, window_length) == window.next());
}

// Guards against totals that a collector never gets because it lost them in a restart.
TEST_CASE("a collector is sent what it has not acknowledged") {
    operation_counter counter{window_length};
    counter.count(anna, start);
    counter.count(parish, start);
    auto update = counter.next_update(collector_host, start);
    REQUIRE(update.windows.size() == 1);
    CHECK(update.windows.front().counts == usage_counts{{anna, 1}, {parish, 1}});
    counter.on_acknowledged(collector_host, incarnation_number{1}, update.revision);
    CHECK(counter.next_update(collector_host, start).windows.empty());

    counter.count(anna, start);
    update = counter.next_update(collector_host, start);
    REQUIRE(update.windows.size() == 1);
    CHECK(update.windows.front().counts == usage_counts{{anna, 2}});

    // A new process of the collector acknowledges, without the earlier totals.
    counter.on_acknowledged(collector_host, incarnation_number{2}, update.revision);
    update = counter.next_update(collector_host, start);
    REQUIRE(update.windows.size() == 1);
    CHECK(update.windows.front().counts == usage_counts{{anna, 2}, {parish, 1}});

    counter.on_acknowledged(collector_host, incarnation_number{2}, update.revision);
    counter.keep_collectors({});
    CHECK(!counter.next_update(collector_host, start).windows.empty());
    const auto later = start + window_length + operation_counter::retention + seconds{1};
    CHECK(counter.next_update(collector_host, later).windows.empty());
}

// Guards against a restarted collector that takes a host's last changes for all of its totals.
TEST_CASE("a partial update for an earlier process of the collector does not complete a host") {
    operation_counter counter{window_length};
    counter.count(anna, start);
    const auto first = counter.next_update(collector_host, start);
    CHECK(first.base_revision == 0);
    counter.on_acknowledged(collector_host, incarnation_number{1}, first.revision);
    counter.count(parish, start);
    const auto partial = counter.next_update(collector_host, start);
    usage_collector earlier{window_length, incarnation_number{1}};
    earlier.on_update(host, incarnation_number{5}, partial, start);
    CHECK(earlier.missing({host}, start).empty());
    usage_collector restarted{window_length, incarnation_number{2}};
    restarted.on_update(host, incarnation_number{5}, partial, start);
    CHECK(restarted.missing({host}, start) == std::vector{host});
    counter.on_acknowledged(collector_host, incarnation_number{2}, partial.revision);
    restarted.on_update(host, incarnation_number{5}, counter.next_update(collector_host, start),
                        start);
    CHECK(restarted.missing({host}, start).empty());
    CHECK(restarted.totals(window_at(start, window_length)) ==
          usage_counts{{anna, 1}, {parish, 1}});
}

// Guards against counts that are added twice or lost by repeated, lost and reordered messages.
TEST_CASE("a collector's totals do not depend on the order of updates") {
    CHECK(rc::check([](const std::vector<bool>& customers, std::uint32_t seed) {
        operation_counter counter{window_length};
        std::vector<usage_update> updates;
        usage_counts expected;
        for (const bool is_anna : customers) {
            const auto& customer = is_anna ? anna : parish;
            counter.count(customer, start);
            ++expected[customer];
            updates.push_back(counter.next_update(collector_host, start));
        }
        updates.insert(updates.end(), updates.begin(), updates.end());
        std::shuffle(updates.begin(), updates.end(), std::mt19937{seed});
        usage_collector collector{window_length};
        for (const auto& update : updates) {
            collector.on_update(host, incarnation_number{1}, update, start);
        }
        RC_ASSERT(collector.totals(window_at(start, window_length)) == expected);
    }));
}

// Guards against a restarted host whose new totals replace those of its earlier process.
TEST_CASE("totals of successive processes of a host are added") {
    const auto window = window_at(start, window_length);
    usage_collector collector{window_length};
    collector.on_update(host, incarnation_number{1}, {{{window, {{anna, 5}}}}, 1, start}, start);
    collector.on_update(host, incarnation_number{2}, {{{window, {{anna, 2}}}}, 1, start}, start);
    CHECK(collector.totals(window) == usage_counts{{anna, 7}});
    CHECK(collector.totals(window.next()).empty());
}

// Guards against memory that a host with a wrong clock fills.
TEST_CASE("windows far from the present are ignored") {
    const auto window = window_at(start, window_length);
    usage_collector collector{window_length};
    const window_number future{window.value() + 1000};
    const window_number past{window.value() - 1000};
    collector.on_update(host, incarnation_number{1},
                        {{{future, {{anna, 5}}}, {past, {{anna, 5}}}}, 1, start}, start);
    CHECK(collector.totals(future).empty());
    CHECK(collector.totals(past).empty());
}

TEST_CASE("hosts without a recent update are missing") {
    usage_collector collector{window_length};
    collector.on_update(host, incarnation_number{1}, {{}, 0, start}, start);
    CHECK(collector.missing({host, collector_host}, start) == std::vector{collector_host});
    CHECK(collector.missing({host}, start + milliseconds{1}) == std::vector{host});
}

// Guards against collectors that fail together with their failure domain.
TEST_CASE("collectors are hosts with fast links in different failure domains") {
    const std::vector<collector_candidate> hosts{
        candidate("a1", "a", 200), candidate("a2", "a", 200), candidate("b1", "b", 10),
        candidate("b2", "b", 100), candidate("c1", "c", 10)};
    const auto chosen = choose_collectors(hosts);
    REQUIRE(chosen.size() == collector_count);
    CHECK((chosen[0] == host_id{"a1"} || chosen[0] == host_id{"a2"}));
    CHECK(chosen[1] == host_id{"b2"});
    CHECK(chosen[2] == host_id{"c1"});
    auto reversed = hosts;
    std::reverse(reversed.begin(), reversed.end());
    CHECK(choose_collectors(reversed) == chosen);
    CHECK(choose_collectors({hosts[0], hosts[1], hosts[2]}).size() == 3);
    CHECK(choose_collectors({hosts[0]}) == std::vector{host_id{"a1"}});
}

// Guards against counts that change in the store, and against a crash on another writer's value.
TEST_CASE("a record round-trips through its row") {
    CHECK(rc::check([](const std::string& text, std::uint32_t number) {
        const usage_record record{
            host_id{"host-1"},
            incarnation_number{number},
            number + 1ULL,
            store_era{3},
            window_number{number},
            {{window_number{number}, {{customer_id{"c"}, number}, {customer_id{"d"}, 0}}}}};
        RC_ASSERT(decode_usage_record(encode_usage_record(record, number)) == record);
        RC_ASSERT(!decode_usage_record(text));
    }));
    for (const auto* value : {"", "{}", "[]", "{\"holder\":7}", "null",
                              R"({"holder":"h","incarnation":1,"fence":-1,"era":1,)"
                              R"("next_window":1,"unconfirmed":[]})",
                              R"({"holder":"h","incarnation":1,"fence":1,"era":1,)"
                              R"("next_window":1,"unconfirmed":[7]})"}) {
        CAPTURE(value);
        CHECK(!decode_usage_record(value));
    }
    const stored_usage_record absent = find_usage_record({}, store_era{2});
    CHECK(!absent.record);
    CHECK(absent.version == fleet_version{});
}
