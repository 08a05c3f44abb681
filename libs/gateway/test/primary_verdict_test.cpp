#include "masticgrade/gateway/primary_verdict.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticgrade;

namespace {

constexpr primary_reply no_evidence{};
constexpr primary_reply recent_answer{true, recent_answer_age};
constexpr primary_reply old_answer{true, recent_answer_age + milliseconds{1}};
constexpr std::nullopt_t no_reply = std::nullopt;

const time_point start{seconds{100}};
const instance_id suspect{"a"};

/// The verdict of a first round in which both replicas answered.
primary_verdict assess_once(primary_replies replies) {
    return primary_suspicion{}.assess(suspect, {std::move(replies), 2}, start);
}

}  // namespace

// One reply that the primary is alive outweighs everything else: replacing it interrupts writes.
TEST_CASE("a primary that has just answered another host is alive") {
    CHECK(assess_once({recent_answer}) == primary_verdict::alive);
    CHECK(assess_once({no_reply, no_reply, no_reply, old_answer, recent_answer}) ==
          primary_verdict::alive);
    CHECK(assess_once({no_evidence, recent_answer}) == primary_verdict::alive);
}

// An answer from before the failure must not delay the failover.
TEST_CASE("an answer that is not recent does not show that the primary is alive") {
    CHECK(assess_once({old_answer, no_evidence}) == primary_verdict::confirmed_dead);
}

// Guards against the replacement of a primary that is well by a host that is cut off or slow.
TEST_CASE("a host to which most others don't reply concludes nothing at first") {
    CHECK(assess_once({no_reply}) == primary_verdict::inconclusive);
    CHECK(assess_once({no_reply, no_reply, no_reply, no_evidence, old_answer}) ==
          primary_verdict::inconclusive);
}

// The hosts of the primary's failure domain fail with it, and most hosts never use the primary.
TEST_CASE("replies from half of the hosts confirm that this host is connected") {
    CHECK(assess_once({no_reply, no_reply, no_evidence, no_evidence, no_evidence}) ==
          primary_verdict::confirmed_dead);
    CHECK(assess_once({no_reply, no_evidence}) == primary_verdict::confirmed_dead);
}

TEST_CASE("a host that knows of no other one decides alone") {
    CHECK(assess_once({}) == primary_verdict::confirmed_dead);
}

// A group must not remain without a primary because all other hosts are gone.
TEST_CASE("a host that reaches replicas but no other hosts acts after the limit") {
    primary_suspicion suspicion;
    const primary_inquiry inquiry{{no_reply, no_reply}, 2};
    CHECK(suspicion.assess(suspect, inquiry, start) == primary_verdict::inconclusive);
    CHECK(suspicion.assess(suspect, inquiry, start + inconclusive_limit - milliseconds{1}) ==
          primary_verdict::inconclusive);
    CHECK(suspicion.assess(suspect, inquiry, start + inconclusive_limit) ==
          primary_verdict::presumed_dead);
}

// In the incident, links stayed full for 8 s: the time in which a host reaches nothing must not
// count towards the limit.
TEST_CASE("a host that no replica answers concludes nothing, for however long") {
    primary_suspicion suspicion;
    const primary_inquiry reaches_nothing{{no_reply, no_reply}, 0};
    const primary_inquiry reaches_replicas{{no_reply, no_reply}, 1};
    CHECK(suspicion.assess(suspect, reaches_replicas, start) == primary_verdict::inconclusive);
    for (int i = 1; i <= 10; ++i) {
        const auto now = start + i * seconds{1};
        CHECK(suspicion.assess(suspect, reaches_nothing, now) == primary_verdict::inconclusive);
    }
    const auto later = start + seconds{11};
    CHECK(suspicion.assess(suspect, reaches_replicas, later) == primary_verdict::inconclusive);
    CHECK(suspicion.assess(suspect, reaches_replicas, later + inconclusive_limit) ==
          primary_verdict::presumed_dead);
}

TEST_CASE("time before the primary was found alive does not count towards the limit") {
    primary_suspicion suspicion;
    const primary_inquiry isolated{{no_reply, no_reply}, 2};
    CHECK(suspicion.assess(suspect, isolated, start) == primary_verdict::inconclusive);
    CHECK(suspicion.assess(suspect, {{recent_answer}, 0}, start) == primary_verdict::alive);
    const auto later = start + 2 * inconclusive_limit;
    CHECK(suspicion.assess(suspect, isolated, later) == primary_verdict::inconclusive);
}

// Guards against the immediate replacement of a new primary that this host does not reach.
TEST_CASE("time in which another instance was the primary does not count towards the limit") {
    const primary_inquiry isolated{{no_reply, no_reply}, 2};
    const auto later = start + 2 * inconclusive_limit;
    std::optional<instance_id> next;
    SUBCASE("another instance leads") { next = instance_id{"b"}; }
    SUBCASE("the group has no primary") {}
    primary_suspicion suspicion;
    CHECK(suspicion.assess(suspect, isolated, start) == primary_verdict::inconclusive);
    CHECK(suspicion.assess(next, isolated, later) == primary_verdict::inconclusive);
    CHECK(suspicion.assess(next, isolated, later + inconclusive_limit) ==
          primary_verdict::presumed_dead);
}

// Rounds that ended shortly before the limit delayed the failover by another round, so that the
// group had no primary for more than 7 s.
TEST_CASE("an isolated host acts within 1.7 s, however long its rounds take") {
    constexpr milliseconds longest_round{750};
    constexpr milliseconds delay_between_rounds{100};
    const primary_inquiry isolated{{no_reply, no_reply}, 2};
    for (milliseconds round{0}; round <= longest_round; round += milliseconds{10}) {
        CAPTURE(round.count());
        primary_suspicion suspicion;
        auto now = start + round;
        while (!permits_failover(suspicion.assess(suspect, isolated, now))) {
            now += delay_between_rounds + round;
        }
        CHECK(now - start < milliseconds{1700});
    }
}

TEST_CASE("a failover needs a replica, and replies or time, and contradicts no recent answer") {
    CHECK(rc::check([](const std::vector<std::vector<std::uint16_t>>& rounds) {
        primary_suspicion suspicion;
        auto now = start;
        std::optional<time_point> isolated_since;
        for (const auto& hosts : rounds) {
            primary_inquiry inquiry;
            std::size_t replied = 0;
            bool answered = false;
            for (const auto number : hosts) {
                auto& reply = inquiry.replies.emplace_back();
                if (number % 4 != 0) {
                    ++replied;
                    reply = primary_reply{number % 4 == 1, milliseconds{number % 1000}};
                    answered = answered || (reply->alive && reply->age <= recent_answer_age);
                }
            }
            inquiry.replicas_answered = hosts.size() % 3;
            now += milliseconds{250};
            const auto verdict = suspicion.assess(suspect, inquiry, now);
            RC_ASSERT(answered == (verdict == primary_verdict::alive));
            if (answered || inquiry.replicas_answered == 0) {
                isolated_since.reset();
                RC_ASSERT(!permits_failover(verdict));
                continue;
            }
            if (replied >= hosts.size() - replied) {
                RC_ASSERT(verdict == primary_verdict::confirmed_dead);
                continue;
            }
            isolated_since = isolated_since.value_or(now);
            RC_ASSERT(permits_failover(verdict) == (now - *isolated_since >= inconclusive_limit));
        }
    }));
}
