#include "masticgrade/process/membership.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "fleet_simulation.hpp"
#include "masticgrade/version/row_codec.hpp"

using namespace masticgrade;
using masticgrade::test::fleet_simulation;

TEST_CASE("hosts that start together all join") {
    fleet_simulation fleet{{.hosts = 7}, 1};
    fleet.run(seconds{15});
    CHECK(fleet.store_list().hosts.size() == 7);
    CHECK(fleet.removals() == 0);
}

TEST_CASE("only a failed member is removed, within a few seconds") {
    CHECK(rc::check([](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 7}, seed};
        fleet.run(seconds{15});
        const auto failed = seed % 7;
        fleet.kill(failed);
        fleet.run(seconds{5});
        RC_ASSERT(!fleet.listed(failed));
        RC_ASSERT(fleet.removals() == 1U);
    }));
}

// Guards against a fleet that cannot change its member list after all processes restart at once.
TEST_CASE("a fleet recovers after all of its processes restart") {
    fleet_simulation fleet{{.hosts = 5}, 3};
    fleet.run(seconds{15});
    for (std::size_t host = 0; host < 5; ++host) {
        fleet.restart(host);
    }
    fleet.run(seconds{15});
    fleet.kill(0);
    fleet.run(seconds{6});
    CHECK(fleet.store_list().hosts.size() == 4);
    CHECK(fleet.may_start_work(1));
}

TEST_CASE("a removed host that is still running rejoins") {
    fleet_simulation fleet{{.hosts = 5}, 4};
    fleet.run(seconds{15});
    fleet.pause(0, seconds{6});
    fleet.run(seconds{6});
    CHECK(!fleet.listed(0));
    fleet.run(seconds{8});
    CHECK(fleet.listed(0));
}

// Guards against a minority that removes members until it forms a majority of the remaining list.
TEST_CASE("a partitioned minority removes no members, even if it reaches the store") {
    CHECK(rc::check([](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 7}, seed};
        fleet.run(seconds{15});
        std::map<std::size_t, int> side;
        for (std::size_t i = 0; i < 3; ++i) {
            side[(seed + i) % 7] = 1;
        }
        for (std::size_t host = 0; host < 7; ++host) {
            fleet.set_store_reachable(host, side.contains(host));
        }
        fleet.partition(std::move(side));
        fleet.run(seconds{20});
        RC_ASSERT(fleet.removals() == 0U);
    }));
}

// Guards against removing a host because of one broken link while all other hosts reach it.
TEST_CASE("a broken or flapping link between two hosts removes no members") {
    CHECK(rc::check([](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 5}, seed};
        fleet.run(seconds{15});
        for (int round = 0; round < 20; ++round) {
            fleet.cut_link(seed % 5, (seed + 1) % 5, round % 2 == 0);
            fleet.run(seconds{3});
        }
        RC_ASSERT(fleet.removals() == 0U);
    }));
}

TEST_CASE("a host with flapping links is removed only a few times") {
    CHECK(rc::check([](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 5}, seed};
        fleet.run(seconds{15});
        const std::size_t flapping = seed % 5;
        for (int round = 0; round < 40; ++round) {
            fleet.partition({{flapping, 1}});
            fleet.run(milliseconds{3200});
            fleet.partition({});
            fleet.run(milliseconds{2500});
        }
        RC_ASSERT(fleet.removals() <= 3U);
    }));
}

// Guards against concurrent removals that remove more members than have failed.
TEST_CASE("concurrent removals remove only failed members") {
    CHECK(rc::check([](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 9}, seed};
        fleet.run(seconds{20});
        const auto before = fleet.store_list().hosts.size();
        RC_ASSERT(before == 9U);
        // Delayed replies make candidates consider higher-ranked candidates unreachable.
        fleet.set_delay_probability(0.02);
        fleet.kill(seed % 9);
        fleet.kill((seed + 4) % 9);
        fleet.run(seconds{10});
        RC_ASSERT(fleet.removals_of_living() == 0U);
        RC_ASSERT(fleet.removals() == 2U);
    }));
}

// Guards against slow gossip in a large fleet that makes live members look failed or hides
// failures.
TEST_CASE("a large fleet with few exchanges removes exactly the failed members") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        fleet_simulation fleet{{.hosts = 70, .listed_at_start = true}, seed};
        fleet.run(seconds{30});
        CHECK(fleet.removals() == 0);
        for (std::size_t host = 0; host < 70; host += 7) {
            fleet.kill(host);
        }
        fleet.run(seconds{10});
        CHECK(fleet.removals() == 10);
        CHECK(fleet.removals_of_living() == 0);
    }
}

TEST_CASE("a leaving host is removed from the list and does not rejoin") {
    const member self{host_id{"a"}, {}, {}, {}};
    const time_point now{};
    membership only{self, {}, std::mt19937_64{1}, now};
    members list{fleet_version{1}};
    list.hosts[self.id] = {self.id, {}, {}, only.self().incarnation};
    only.on_list_applied(list, now);
    only.leave();
    const auto actions = only.tick(now);
    REQUIRE(actions.size() == 1);
    const auto& change = std::get<change_members>(actions.front());
    CHECK(change.kind == members_change_kind::leave);
    CHECK(change.based_on == fleet_version{1});
    CHECK(change.proposed.hosts.empty());
    const auto commit = make_commit(change, "mark");
    CHECK(commit.conditions.at(0).version == fleet_version{1});
    CHECK(decode_members_row({"fleet/members", fleet_version{2}, commit.puts.at(0).value})
              .marks.contains("mark"));
    only.on_list_applied({fleet_version{2}}, now);
    CHECK(only.tick(now + seconds{10}).empty());
}
