#include "masticgrade/gateway/promotion_choice.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
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

bool is_proven_by(promotion_proof proof, const target_verdict& verdict) {
    return verdict == target_verdict{proof};
}

bool lacks_commit(const target_verdict& verdict) {
    return verdict == target_verdict{promotion_refusal::acknowledged_commit_missing};
}

}  // namespace

// Guards against the loss of commits that only a replica has which no record names: it has joined
// and received before any host read its entry, so that all known logs were held without it.
TEST_CASE("the logs of replicas prove nothing, however few are unknown") {
    const auto at = [](std::uint64_t term, std::uint64_t number) {
        return log_index{term_number{term}, log_position{number}};
    };
    for (const std::size_t sync_replicas : {1U, 2U, 3U}) {
        for (const std::size_t unknown : {0U, 1U, 3U}) {
            unheld_logs others{unknown, true};
            others.sync_replicas = sync_replicas;
            CHECK(assess_target(at(2, 5), others, {}) ==
                  target_verdict{promotion_refusal::acknowledgements_unknown});
            // The old primary has stepped down, so its log has every acknowledged commit.
            others.former_primary = at(2, 5);
            CHECK(is_proven_by(promotion_proof::primary_log, assess_target(at(2, 5), others, {})));
            others.former_primary = at(2, 6);
            CHECK(assess_target(at(2, 5), others, {}) ==
                  target_verdict{promotion_refusal::acknowledgements_unknown});
            others.former_primary = at(3, 1);
            CHECK(assess_target(at(2, 5), others, {}) ==
                  target_verdict{promotion_refusal::acknowledgements_unknown});
        }
    }
}

// Guards against a wrong count of the logs: in the users' runs a target was promoted without a
// commit that another replica had and that clients had seen acknowledged.
TEST_CASE(
    "a target below a replica's position is promoted only if the commit was not acknowledged") {
    const auto at = [](std::uint64_t number) {
        return log_index{term_number{3}, log_position{number}};
    };
    unheld_logs all_known;
    all_known.former_primary = at(39);
    census_result known;
    known.replicated = at(40);
    CHECK(is_proven_by(promotion_proof::primary_log, assess_target(at(40), all_known, known)));
    CHECK(assess_target(at(39), all_known, known) ==
          target_verdict{promotion_refusal::replicated_commit_missing});
    known.bound = at(39);
    CHECK(is_proven_by(promotion_proof::primary_log, assess_target(at(39), all_known, known)));
    CHECK(least_target_position(known) == at(39));

    census_result recorded;
    recorded.required = at(40);
    CHECK(is_proven_by(promotion_proof::primary_log, assess_target(at(40), all_known, recorded)));
    CHECK(assess_target(at(39), all_known, recorded) ==
          target_verdict{promotion_refusal::required_commit_missing});
    recorded.beyond = at(40);
    CHECK(least_target_position(recorded) == at(41));
    CHECK(least_target_position({}) == std::nullopt);
}

// Guards against the promotion of a replica that has missed a whole term: its log may be longer in
// entries, yet lacks every commit of the new primary.
TEST_CASE("a log of an earlier term lacks the commits acknowledged in a later one") {
    const log_index acknowledged{term_number{3}, log_position{7}};
    for (const std::size_t unknown : {0U, 1U}) {
        unheld_logs others;
        others.unknown_replicas = unknown;
        census_result told;
        told.beyond = log_index{term_number{3}, log_position{6}};
        told.up_to = acknowledged;
        told.bound = acknowledged;
        CHECK(lacks_commit(assess_target({term_number{2}, log_position{900}}, others, told)));
        CHECK(lacks_commit(assess_target({term_number{3}, log_position{6}}, others, told)));
        CHECK(is_proven_by(promotion_proof::acknowledgements,
                           assess_target(acknowledged, others, told)));
        CHECK(is_proven_by(promotion_proof::acknowledgements,
                           assess_target({term_number{4}, log_position{1}}, others, told)));
    }
}

// Guards against promotions that lose acknowledged commits although the logs that are counted look
// complete: 19 promotions took place with no unknown log and a target behind what the promoting
// host had acknowledged.
TEST_CASE("a target that lacks an acknowledged commit is refused whatever the logs show") {
    const auto at = [](std::uint64_t number) {
        return log_index{term_number{1}, log_position{number}};
    };
    census_result told;
    told.beyond = at(3514);
    told.up_to = at(3515);
    told.bound = at(3515);
    CHECK(lacks_commit(assess_target(at(3407), {0, false}, told)));
    CHECK(lacks_commit(assess_target(at(3514), {0, false}, told)));
    CHECK(lacks_commit(assess_target(at(3407), {0, false, at(3407)}, told)));
    CHECK(
        is_proven_by(promotion_proof::acknowledgements, assess_target(at(3515), {0, false}, told)));
    // Nothing is promised.
    unheld_logs unpromised;
    unpromised.sync_replicas = 0;
    CHECK(is_proven_by(promotion_proof::not_needed, assess_target(at(3407), unpromised, told)));
}

// The position in an answer may include commits that no replica has received yet, but nothing shows
// which of them were acknowledged: a replica that no host has heard of may have received them.
TEST_CASE("a target below an upper bound is promoted only if it has all of the primary's log") {
    const auto at = [](std::uint64_t number) {
        return log_index{term_number{1}, log_position{number}};
    };
    census_result told;
    told.beyond = at(9);
    told.up_to = at(14);
    told.bound = at(14);
    unheld_logs stepped_down;
    stepped_down.former_primary = at(10);
    CHECK(is_proven_by(promotion_proof::primary_log, assess_target(at(10), stepped_down, told)));
    for (const std::size_t unknown : {0U, 2U}) {
        CHECK(assess_target(at(10), {unknown, true}, told) ==
              target_verdict{promotion_refusal::position_not_reached});
        CHECK(is_proven_by(promotion_proof::acknowledgements,
                           assess_target(at(14), {unknown, true}, told)));
    }
    told.bound.reset();
    CHECK(assess_target(at(14), {2, true}, told) ==
          target_verdict{promotion_refusal::acknowledgements_unknown});
}

// A running instance that is cut off from the store may have received commits whose answers are
// still under way, so that no host has acknowledged them yet.
TEST_CASE("a longer log that cannot be promoted is waited for whatever hosts have acknowledged") {
    const auto at = [](std::uint64_t number) {
        return log_index{term_number{1}, log_position{number}};
    };
    census_result told;
    told.bound = at(10);
    unheld_logs others{2, true, {}, at(11)};
    CHECK(assess_target(at(10), others, told) ==
          target_verdict{promotion_refusal::longer_log_unlisted});
    others.longest_unlisted = at(10);
    CHECK(is_proven_by(promotion_proof::acknowledgements, assess_target(at(10), others, told)));
}

// With fewer promises a lost replica must not keep a group without a primary.
TEST_CASE("without synchronous replicas every target is promoted") {
    const log_index position{term_number{2}, log_position{5}};
    const log_index longer{term_number{2}, log_position{6}};
    unheld_logs others{3, true, longer, longer};
    CHECK_FALSE(
        std::holds_alternative<promotion_proof>(assess_target(position, others, census_result{})));
    others.sync_replicas = 0;
    CHECK(is_proven_by(promotion_proof::not_needed, assess_target(position, others, {})));
}

// Guards against promotions that lose acknowledged commits, for any number of synchronous replicas.
TEST_CASE("a promotion that is allowed has every commit of the primary and n replicas") {
    struct model_replica {
        std::uint64_t received = 0;
        bool is_known = true;
        bool is_listed = true;
        /// No host or row names it.
        bool is_unheard_of = false;
    };
    unsigned allowed_with_unknown = 0;
    unsigned allowed_with_unheard_of = 0;
    CHECK(rc::check([&] {
        // The first one is known and listed: without such a replica there is nothing to promote.
        std::vector<model_replica> replicas{{*rc::gen::inRange<std::uint64_t>(0, 8)}};
        const auto others_count = *rc::gen::inRange<std::size_t>(1, 5);
        for (std::size_t i = 0; i < others_count; ++i) {
            replicas.push_back({*rc::gen::inRange<std::uint64_t>(0, 8), *rc::gen::arbitrary<bool>(),
                                *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
        }
        const auto required = *rc::gen::inRange<std::size_t>(1, replicas.size() + 1);
        std::vector<std::uint64_t> received;
        received.reserve(replicas.size());
        for (const auto& replica : replicas) {
            received.push_back(replica.received);
        }
        std::sort(received.rbegin(), received.rend());
        // The newest commit that `required` replicas have. The primary has at least what they have.
        const auto acknowledged = received[required - 1];
        const auto primary = received.front() + *rc::gen::inRange<std::uint64_t>(0, 3);

        const auto at = [](std::uint64_t number) {
            return log_index{term_number{2}, log_position{number}};
        };
        unheld_logs others;
        others.sync_replicas = required;
        others.primary_is_unknown = *rc::gen::arbitrary<bool>();
        if (!others.primary_is_unknown) {
            others.former_primary = at(primary);
        }
        census_result told;
        if (acknowledged > 0 && *rc::gen::arbitrary<bool>()) {
            told.beyond = at(*rc::gen::inRange<std::uint64_t>(0, acknowledged));
        }
        if (*rc::gen::arbitrary<bool>()) {
            told.bound = at(acknowledged + *rc::gen::inRange<std::uint64_t>(0, 3));
        }
        std::uint64_t longest_held = 0;
        bool is_any_unheard_of = false;
        for (const auto& replica : replicas) {
            if (replica.is_unheard_of) {
                is_any_unheard_of = true;
            } else if (!replica.is_known) {
                ++others.unknown_replicas;
            } else if (replica.is_listed) {
                longest_held = std::max(longest_held, replica.received);
            } else {
                others.longest_unlisted =
                    std::max(others.longest_unlisted.value_or(log_index{}), at(replica.received));
            }
        }
        const auto verdict = assess_target(at(longest_held), others, told);
        if (std::holds_alternative<promotion_proof>(verdict)) {
            allowed_with_unknown += others.unknown_replicas > 0 ? 1 : 0;
            allowed_with_unheard_of += is_any_unheard_of ? 1 : 0;
            RC_ASSERT(longest_held >= acknowledged);
        }
    }));
    CHECK(allowed_with_unknown > 0);
    CHECK(allowed_with_unheard_of > 0);
}

// A configuration that lacks the number is given 1, which must be the safe choice.
TEST_CASE("a larger number of synchronous replicas never forbids a promotion") {
    CHECK(rc::check([](std::uint8_t unknown, bool primary_is_unknown,
                       const std::vector<std::uint8_t>& ends) {
        unheld_logs others;
        others.unknown_replicas = unknown % 5;
        others.primary_is_unknown = primary_is_unknown;
        const auto end_of = [&](std::size_t i) {
            return i < ends.size() ? std::optional{log_index{term_number{2}, log_position{ends[i]}}}
                                   : std::nullopt;
        };
        others.former_primary = end_of(0);
        others.longest_unlisted = end_of(1);
        census_result told;
        told.beyond = end_of(2);
        told.bound = end_of(3);
        const log_index position{term_number{2}, log_position{100}};
        bool was_allowed = false;
        for (std::size_t number = 1; number < 6; ++number) {
            others.sync_replicas = number;
            const bool allowed =
                std::holds_alternative<promotion_proof>(assess_target(position, others, told));
            RC_ASSERT(allowed || !was_allowed);
            was_allowed = allowed;
        }
    }));
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
        hosts.reserve(numbers.size());
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
