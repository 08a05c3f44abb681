#include "masticgrade/gateway/promotion_choice.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace masticgrade;

namespace {

constexpr term_number term{4};

promotion_candidate replica(const char* name, std::uint64_t received, bool is_draining = false) {
    promotion_candidate candidate;
    candidate.id = instance_id{name};
    candidate.held =
        instance_status{false, term_number{3}, {term_number{3}, log_position{received}}, term};
    candidate.is_draining = is_draining;
    return candidate;
}

}  // namespace

// A commit may be on one replica only.
// Guards against promotions that lose acknowledged commits: each is in two logs, so it is in a
// known one unless two logs are unknown.
TEST_CASE("one unknown log holds no acknowledged commit alone, two may") {
    const auto at = [](std::uint64_t term, std::uint64_t number) {
        return log_index{term_number{term}, log_position{number}};
    };
    CHECK(contains_acknowledged_commits(at(2, 5), {0, true}));
    CHECK(contains_acknowledged_commits(at(2, 5), {1, false}));
    CHECK_FALSE(contains_acknowledged_commits(at(2, 5), {1, true}));
    CHECK_FALSE(contains_acknowledged_commits(at(2, 5), {2, false}));
    CHECK(contains_acknowledged_commits(at(2, 5), {2, false, at(2, 5)}));
    CHECK_FALSE(contains_acknowledged_commits(at(2, 5), {1, false, at(2, 6)}));
    CHECK_FALSE(contains_acknowledged_commits(at(2, 5), {1, false, at(3, 1)}));
    // Without unknown replicas the primary's further commits were never acknowledged.
    CHECK(contains_acknowledged_commits(at(2, 5), {0, false, at(2, 6)}));
    CHECK_FALSE(contains_acknowledged_commits(at(2, 5), {0, false, {}, at(2, 6)}));
}

// Guards against the promotion of a replica that has missed a whole term: its log may be longer in
// entries, yet lacks every commit of the new primary.
TEST_CASE("a log of an earlier term lacks the commits acknowledged in a later one") {
    const log_index acknowledged{term_number{3}, log_position{7}};
    unheld_logs others;
    others.unknown_replicas = 1;
    others.acknowledged = acknowledged;
    CHECK_FALSE(contains_acknowledged_commits({term_number{2}, log_position{900}}, others));
    CHECK_FALSE(contains_acknowledged_commits({term_number{3}, log_position{6}}, others));
    CHECK(contains_acknowledged_commits(acknowledged, others));
    CHECK(contains_acknowledged_commits({term_number{4}, log_position{1}}, others));
}

TEST_CASE("the replica with the longest log is promoted even if it is draining") {
    const auto choice = choose_promotion_target({replica("a", 10), replica("b", 12, true)}, term);
    REQUIRE(choice);
    CHECK(choice->target == instance_id{"b"});
    CHECK(choose_promotion_target({replica("a", 12), replica("b", 12, true)}, term)->target ==
          instance_id{"a"});
}

// A replica that isn't held continues to receive log entries and to acknowledge commits of the old
// primary.
TEST_CASE("no target is chosen unless every replica is held at the term") {
    auto silent = replica("b", 12);
    silent.held.reset();
    CHECK_FALSE(choose_promotion_target({replica("a", 10), silent}, term));
    auto held_lower = replica("b", 12);
    held_lower.held->held = term_number{3};
    CHECK_FALSE(choose_promotion_target({replica("a", 10), held_lower}, term));
    auto primary = replica("b", 12);
    primary.held->is_primary = true;
    CHECK_FALSE(choose_promotion_target({replica("a", 10), primary}, term));
    CHECK_FALSE(choose_promotion_target({}, term));
}

TEST_CASE("the chosen replica has the longest log") {
    CHECK(rc::check([](const std::vector<std::uint8_t>& received) {
        std::vector<promotion_candidate> replicas;
        for (std::size_t i = 0; i < received.size(); ++i) {
            replicas.push_back(replica(std::to_string(i).c_str(), received[i], i % 2 == 0));
        }
        const auto choice = choose_promotion_target(replicas, term);
        RC_ASSERT(choice.has_value() == !received.empty());
        if (choice) {
            const auto longest = *std::max_element(received.begin(), received.end());
            RC_ASSERT(choice->position.number.value() == longest);
        }
    }));
}

// Several hosts must not start the same promotion at the same time.
TEST_CASE("hosts have distinct ranks and only rank 0 has no delay") {
    const std::vector<host_id> hosts{host_id{"a"}, host_id{"b"}, host_id{"c"}};
    std::set<std::size_t> ranks;
    for (const auto& host : hosts) {
        ranks.insert(failover_rank(group_id{"ledger"}, host, hosts));
    }
    CHECK(ranks == std::set<std::size_t>{0, 1, 2});
    CHECK(takeover_delay(0) == milliseconds{0});
    CHECK(takeover_delay(1) > milliseconds{0});
    CHECK(takeover_delay(10) > takeover_delay(5));
    CHECK(takeover_delay(500) < seconds{7});
}

// Hosts that are asked about a primary must be those that the ranks of the failover name.
TEST_CASE("the highest-ranked hosts are those with the lowest ranks") {
    CHECK(rc::check([](const std::set<std::uint8_t>& numbers, std::uint8_t count) {
        std::vector<host_id> hosts;
        for (const auto number : numbers) {
            hosts.emplace_back("host-" + std::to_string(number));
        }
        const group_id group{"ledger"};
        const auto chosen = highest_ranked_hosts(group, hosts, count);
        RC_ASSERT(chosen.size() == std::min<std::size_t>(count, hosts.size()));
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            RC_ASSERT(failover_rank(group, chosen[i], hosts) == i);
        }
    }));
}
