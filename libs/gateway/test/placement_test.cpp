#include "masticgrade/gateway/placement.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace masticgrade;

namespace {

constexpr microseconds setup{27000};

placement_candidate candidate(const char* name, microseconds service) {
    placement_candidate item;
    item.instance = instance_id{name};
    item.slots = 3;
    item.service_time = service;
    item.has_free_connection = true;
    return item;
}

std::optional<instance_id> choose(const std::vector<placement_candidate>& candidates) {
    return choose_instance(candidates, setup);
}

}  // namespace

// Load pattern: one instance runs four times slower than its neighbours.
TEST_CASE("a slow instance gets work only once its neighbours are as late") {
    auto fast = candidate("fast", milliseconds{20});
    auto slow = candidate("slow", milliseconds{80});
    CHECK(choose({slow, fast}) == fast.instance);
    fast.outstanding = 12;
    CHECK(choose({slow, fast}) == slow.instance);
}

// Load pattern: half of the operations would open a connection, which takes a slot.
TEST_CASE("a free connection is worth its set-up time") {
    auto warm = candidate("warm", milliseconds{20});
    warm.outstanding = 2;
    auto cold = candidate("cold", milliseconds{20});
    cold.has_free_connection = false;
    cold.can_open = true;
    CHECK(choose({cold, warm}) == warm.instance);
    warm.outstanding = 9;
    CHECK(choose({cold, warm}) == cold.instance);
}

// Load pattern: reads compete with writes, which only the primary can run.
TEST_CASE("a read leaves the primary to the writes unless the replicas are clearly busier") {
    auto primary = candidate("primary", milliseconds{20});
    primary.is_primary = true;
    auto replica = candidate("replica", milliseconds{20});
    CHECK(choose({primary, replica}) == replica.instance);
    replica.outstanding = 6;
    CHECK(choose({primary, replica}) == primary.instance);
}

// Load pattern: the home of one instance has a long queue.
TEST_CASE("the queue at the home counts") {
    auto queued = candidate("queued", milliseconds{20});
    queued.queue_time = milliseconds{200};
    const auto idle = candidate("idle", milliseconds{30});
    CHECK(choose({queued, idle}) == idle.instance);
}

// Guards against an instance that has no connection left.
TEST_CASE("an instance without a usable connection is not chosen") {
    auto full = candidate("full", milliseconds{1});
    full.has_free_connection = false;
    CHECK_FALSE(choose({full}));
    CHECK_FALSE(choose({}));
}

// Guards against hosts that together exceed what an instance accepts while they are alike.
TEST_CASE("the kept connections of all hosts fit an instance") {
    CHECK(rc::check([] {
        const auto limit = *rc::gen::inRange(20U, 300U);
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 10);
        unsigned sum = 0;
        for (std::size_t i = 0; i < hosts; ++i) {
            sum += divide_connections(limit, hosts, 1.0 / static_cast<double>(hosts)).core_size;
        }
        RC_ASSERT(sum <= limit);
    }));
    CHECK(pool_owner_connections(21, 8).max_size < 21);
    CHECK(pool_owner_connections(1, 8).core_size == 1);
}

// Guards against a connection that is opened for nearly every operation (grown lsf-lager, quiet-1:
// 11,105 connections for 11,930 statements with 76 customers).
TEST_CASE("the home keeps a connection for each customer where an instance accepts that many") {
    CHECK(pool_owner_connections(21, 8).core_size == 8);
    CHECK(pool_owner_connections(47, 76).core_size == 35);
    CHECK(pool_owner_connections(214, 90).core_size == 90);
    CHECK(pool_owner_connections(47, 2).core_size == 16);
}

// Guards against hosts that choose different homes, and against a home in another domain.
TEST_CASE("every host chooses the same home, in the instance's own domain if it can") {
    const failure_domain_id north{"north"};
    const failure_domain_id south{"south"};
    std::vector<pool_owner_candidate> candidates{
        {host_id{"a"}, south}, {host_id{"b"}, north}, {host_id{"c"}, north}, {host_id{"d"}, south}};
    std::set<host_id> homes;
    for (int i = 0; i < 50; ++i) {
        const instance_id instance{"instance-" + std::to_string(i)};
        const auto home = choose_pool_owner(instance, north, candidates);
        std::vector<pool_owner_candidate> reversed{candidates.rbegin(), candidates.rend()};
        CHECK(choose_pool_owner(instance, north, reversed) == home);
        homes.insert(*home);
        const auto elsewhere = choose_pool_owner(instance, failure_domain_id{"east"}, candidates);
        CHECK(elsewhere.has_value());
    }
    CHECK(homes == std::set<host_id>{host_id{"b"}, host_id{"c"}});
    CHECK_FALSE(choose_pool_owner(instance_id{"i"}, north, {}));
}
