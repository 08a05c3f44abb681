#include "masticgrade/process/freshness.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "fleet_simulation.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/process/proof_ages.hpp"
#include "masticgrade/process/quorum.hpp"

using namespace masticgrade;
using masticgrade::test::fleet_simulation;

namespace {

/// Injects one random fault or change, weighted so that the fleet can work most of the time.
void inject_fault(fleet_simulation& fleet) {
    const auto draw = [&](std::size_t end) {
        return std::uniform_int_distribution<std::size_t>{0, end - 1}(fleet.random());
    };
    const auto alive = fleet.alive_hosts();
    const auto host = alive[draw(alive.size())];
    switch (draw(12)) {
        case 0:
            fleet.set_store_available(false);
            break;
        case 1:
        case 2:
            fleet.set_store_available(true);
            break;
        case 3: {
            std::map<std::size_t, int> side;
            for (const auto each : alive) {
                side[each] = static_cast<int>(draw(2));
            }
            fleet.partition(std::move(side));
            break;
        }
        case 4:
            fleet.partition({});
            break;
        case 5:
            fleet.pause(host, milliseconds{100 + draw(6000)});
            break;
        case 6:
            fleet.restart(host);
            break;
        case 7:
            fleet.replace(host);
            break;
        case 8:
            fleet.set_store_reachable(host, draw(2) == 0);
            break;
        case 9:
            fleet.cut_link(host, alive[draw(alive.size())], draw(3) != 0);
            break;
        case 10:
            fleet.set_loss_probability(draw(2) == 0 ? 0.0 : 0.2);
            fleet.set_delay_probability(draw(2) == 0 ? 0.0 : 0.1);
            break;
        default:
            break;
    }
    if (draw(2) == 0) {
        fleet.change_configuration();
    }
}

/// Partitions the fleet so that only side 0 reaches the store and changes the members and the
/// configuration. Hosts restart and change sides: proofs that side 1 holds about them must not
/// remain valid after they accepted a newer version on side 0.
void run_partitioned(fleet_simulation& fleet) {
    const auto draw = [&](std::size_t end) {
        return std::uniform_int_distribution<std::size_t>{0, end - 1}(fleet.random());
    };
    std::map<std::size_t, int> side;
    const auto set_side = [&](std::size_t host, int value) {
        side[host] = value;
        fleet.set_store_reachable(host, value == 0);
        fleet.partition(side);
    };
    for (const auto host : fleet.alive_hosts()) {
        set_side(host, static_cast<int>(draw(2)));
    }
    for (int step = 0; step < 30; ++step) {
        const auto alive = fleet.alive_hosts();
        const auto host = alive[draw(alive.size())];
        switch (draw(6)) {
            case 0:
                fleet.change_configuration();
                break;
            case 1:
                set_side(fleet.add(), 0);
                break;
            case 2:
                fleet.restart(host);
                break;
            case 3:
                fleet.restart(host);
                set_side(host, 1);
                break;
            case 4:
                set_side(host, 1 - side[host]);
                break;
            default:
                fleet.pause(host, milliseconds{100 + draw(3000)});
                break;
        }
        fleet.run(milliseconds{100 + draw(2000)});
    }
}

members list_of(std::uint64_t version, const std::vector<std::string>& ids) {
    members list{fleet_version{version}};
    for (const auto& id : ids) {
        list.hosts[host_id{id}] = {host_id{id}, {}, {}, incarnation_number{1}};
    }
    return list;
}

host_incarnation host(const char* id, std::uint64_t incarnation = 1) {
    return {host_id{id}, incarnation_number{incarnation}};
}

exchange_answer answer_from(host_incarnation peer, time_point sent_at, std::uint64_t version) {
    return {sent_at, std::move(peer), fleet_version{version}, fleet_version{1}, {}, {}};
}

const time_point start = time_point{} + seconds{1000};

}  // namespace

// Guards against work under an old version after a newer one was accepted (guarantees 6, 8, 12 and
// 14).
TEST_CASE("no host starts work under a version 3 s after a newer one was accepted") {
    std::size_t permitted = 0;
    std::size_t accepted = 0;
    CHECK(rc::check([&](std::uint64_t seed) {
        const auto hosts = 3 + seed % 5;
        fleet_simulation fleet{{.hosts = hosts}, seed};
        fleet.run(seconds{6});
        for (int step = 0; step < 40; ++step) {
            inject_fault(fleet);
            fleet.run(milliseconds{200 + fleet.random()() % 2500});
        }
        permitted += fleet.permitted();
        accepted += fleet.accepted_versions();
        RC_ASSERT(fleet.violations() == std::vector<std::string>{});
        RC_ASSERT(invariant_violations() == 0U);
    }));
    // A fleet that never starts work would satisfy the property trivially.
    CHECK(permitted > 10000);
    CHECK(accepted > 500);
}

// Guards against a second majority on the side that does not learn of a change. It could arise from
// restarted processes that lost the versions they had accepted, from member lists that diverged, or
// from proofs for newer versions that are relayed as proofs for the old one.
TEST_CASE(
    "a partition without the store never starts work under a version that the other side "
    "replaced") {
    std::size_t permitted = 0;
    std::size_t accepted = 0;
    CHECK(rc::check([&](std::uint64_t seed) {
        fleet_simulation fleet{{.hosts = 3 + seed % 4}, seed};
        fleet.run(seconds{8});
        run_partitioned(fleet);
        permitted += fleet.permitted();
        accepted += fleet.accepted_versions();
        RC_ASSERT(fleet.violations() == std::vector<std::string>{});
    }));
    CHECK(permitted > 10000);
    CHECK(accepted > 300);
}

// Guards against disjoint quorums after a change of the member list.
TEST_CASE("majorities of a list and acceptance quorums of the next list have a member in common") {
    for (std::size_t count = 1; count <= 700; ++count) {
        const auto majority = count / 2 + 1;
        const auto limit = removal_limit(count);
        CHECK(limit >= 1);
        for (std::size_t removed = 0; removed <= limit; ++removed) {
            CHECK(majority + acceptance_quorum(count - removed) > count);
        }
        CHECK(majority + acceptance_quorum(count + 1) > count + 1);
        CHECK(acceptance_quorum(count) >= majority);
        CHECK(acceptance_quorum(count) <= count);
    }
    // One change can remove one of 7 failure domains from a fleet of 550 hosts.
    CHECK(removal_limit(550) >= 79);
}

TEST_CASE("hosts keep starting work during a store outage") {
    fleet_simulation fleet{{.hosts = 7}, 1};
    fleet.run(seconds{8});
    fleet.set_store_available(false);
    for (int second = 0; second < 60; ++second) {
        fleet.run(seconds{1});
        for (const auto each : fleet.alive_hosts()) {
            CHECK(fleet.may_start_work(each));
        }
    }
}

TEST_CASE("a minority without the store stops work within 3 s and resumes after the partition") {
    fleet_simulation fleet{{.hosts = 5}, 2};
    fleet.run(seconds{8});
    fleet.partition({{0, 1}, {1, 1}});
    fleet.set_store_available(false);
    fleet.run(milliseconds{3100});
    CHECK(!fleet.may_start_work(0));
    CHECK(!fleet.may_start_work(1));
    CHECK(fleet.may_start_work(2));
    fleet.partition({});
    fleet.run(seconds{2});
    CHECK(fleet.may_start_work(0));
}

// Guards against a restarted process whose replies count as proofs for its predecessor.
TEST_CASE("a proof counts only for the incarnation in the member list") {
    freshness fresh{host("a")};
    fresh.on_snapshot_applied(fleet_version{1}, list_of(1, {"a", "b", "c"}));
    fresh.on_exchange_answer(answer_from(host("b", 2), start, 1), start);
    CHECK(fresh.refuse_work(start) == work_refusal::not_current);
    fresh.on_exchange_answer(answer_from(host("b", 1), start, 1), start);
    CHECK(fresh.may_start_work(start));
}

// Guards against measuring a proof's age from the arrival of a delayed reply.
TEST_CASE("a proof holds from the time the request was sent and expires after 3 s") {
    freshness fresh{host("a")};
    fresh.on_snapshot_applied(fleet_version{1}, list_of(1, {"a", "b", "c"}));
    fresh.on_exchange_answer(answer_from(host("b"), start, 1), start + seconds{2});
    CHECK(fresh.may_start_work(start + seconds{3}));
    CHECK(fresh.refuse_work(start + seconds{3} + milliseconds{1}) == work_refusal::not_current);
}

TEST_CASE("a relayed age is relative to the request and is never rounded down") {
    freshness fresh{host("a")};
    fresh.on_snapshot_applied(fleet_version{1}, list_of(1, {"a", "b", "c", "d", "e"}));
    auto answer = answer_from(host("b"), start, 1);
    answer.ages = pack_ages({{}, duration{0}, milliseconds{1001}, {}, {}});
    fresh.on_exchange_answer(answer, start);
    CHECK(fresh.may_start_work(start + milliseconds{1700}));
    CHECK(!fresh.may_start_work(start + milliseconds{2000}));
}

TEST_CASE("a proof for a version that is not applied yet does not count") {
    freshness fresh{host("a")};
    fresh.on_snapshot_applied(fleet_version{1}, list_of(1, {"a", "b", "c"}));
    fresh.on_store_read({start, fleet_version{1}}, start);
    fresh.on_exchange_answer(answer_from(host("b"), start, 2), start);
    CHECK(fresh.refuse_work(start) == work_refusal::newer_version_known);
    fresh.on_snapshot_applied(fleet_version{2}, list_of(1, {"a", "b", "c"}));
    CHECK(fresh.may_start_work(start));
}

TEST_CASE("a host without an applied snapshot starts no work") {
    freshness fresh{host("a")};
    fresh.on_store_read({start, fleet_version{}}, start);
    CHECK(fresh.refuse_work(start) == work_refusal::no_snapshot);
}

TEST_CASE("an encoded age is never younger than the original") {
    CHECK(rc::check([](const std::vector<std::uint32_t>& micros) {
        proof_ages ages;
        for (const auto value : micros) {
            ages.emplace_back(microseconds{value % 4000000});
        }
        const auto unpacked = unpack_ages(pack_ages(ages), ages.size());
        RC_ASSERT(unpacked.has_value());
        for (std::size_t i = 0; i < ages.size(); ++i) {
            RC_ASSERT(!(*unpacked)[i] || *(*unpacked)[i] >= *ages[i]);
            RC_ASSERT((*unpacked)[i].has_value() || *ages[i] > milliseconds{2700});
        }
    }));
}
