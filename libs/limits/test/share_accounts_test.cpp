#include <doctest/doctest.h>

#include "holder_account.hpp"
#include "owner_account.hpp"

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(1000);
const customer_id customer{"customer"};
const share_settings settings;
const host_process first{host_id{"first"}, incarnation_number{1}};
const host_process second{host_id{"second"}, incarnation_number{1}};

assigned_share assign(std::uint64_t ownership, std::uint64_t sequence, double fraction,
                      double tokens = 0) {
    return {
        customer, fleet_version{ownership}, share_sequence{sequence}, {fraction, fraction}, tokens};
}

/// A holder with half of a rate of 10 and a burst of 20, and an empty bucket.
holder_account half_holder() {
    holder_account holder(customer, 0, settings, start);
    holder.configure(10, 20, start);
    holder.apply(assign(1, 1, 0.5), start);
    return holder;
}

int tokens_in(holder_account& holder, time_point now) {
    int tokens = 0;
    while (holder.try_take(now)) {
        ++tokens;
    }
    return tokens;
}

/// A complete owner at ownership 1 whose pool holds the entire limit.
owner_account full_owner() {
    owner_account owner(customer, 0, fleet_version{1}, settings, start);
    owner.configure(10, 20, start);
    for (const auto& holder : {first, second}) {
        owner.on_report(holder, {customer, fleet_version{1}, {}, 0}, start);
    }
    owner.try_complete({fleet_version{1}, {first, second}}, fleet_version{1}, start);
    return owner;
}

}  // namespace

// Guards against a holder returning tokens that it also keeps.
TEST_CASE("a holder whose share shrinks keeps or returns each token once") {
    auto holder = half_holder();
    const auto half_full = start + seconds(1);
    const auto ack = holder.apply(assign(1, 2, 0.3), half_full);
    REQUIRE(ack.has_value());
    CHECK(ack->returned_tokens == doctest::Approx(2));
    CHECK(tokens_in(holder, half_full) == 3);
    // A repeated assignment gets the same reply and has no effect.
    CHECK(holder.apply(assign(1, 2, 0.3), half_full)->returned_tokens == doctest::Approx(2));
}

// Guards against tokens computed with an old, higher burst that arrive after the burst was reduced.
TEST_CASE("tokens transferred with a share are limited to its increase") {
    auto holder = half_holder();
    holder.apply(assign(1, 2, 0.6, 50), start);
    CHECK(tokens_in(holder, start) == 2);
}

// Guards against applying an assignment of a former owner that arrives after the holder has
// reported to the new owner.
TEST_CASE("a holder ignores ownerships lower than the one it is bound to") {
    auto holder = half_holder();
    holder.bind(fleet_version{3});
    CHECK_FALSE(holder.apply(assign(1, 2, 0.9), start).has_value());
    CHECK(holder.report().held.rate == doctest::Approx(0.5));
    CHECK(holder.apply(assign(3, 1, 0.4), start).has_value());
}

// Guards against two successors both using the pool of one former owner.
TEST_CASE("an owner hands its ledger to one successor, including tokens in transit") {
    auto owner = full_owner();
    owner.on_token_request(second, {customer, request_number{1}, 4}, start + seconds(1));
    REQUIRE(owner.grant_queued(start + seconds(1)).size() == 1);
    owner.retire(fleet_version{2});
    const auto handover = owner.hand_over(fleet_version{2}, start + seconds(1));
    REQUIRE(handover.has_value());
    CHECK(handover->pool_tokens == doctest::Approx(6));
    CHECK(handover->outstanding_tokens == doctest::Approx(4));
    CHECK_FALSE(owner.hand_over(fleet_version{3}, start + seconds(1)).has_value());
    CHECK_FALSE(owner.resume(start + seconds(1)));

    owner_account successor(customer, 0, fleet_version{2}, settings, start);
    successor.configure(100, 20, start);
    successor.on_handover(*handover);
    for (const auto& holder : {first, second}) {
        successor.on_report(holder, {customer, fleet_version{2}, {}, 0}, start);
    }
    successor.try_complete({fleet_version{2}, {first, second}}, fleet_version{0}, start);
    // 4 of the 20 tokens are in transit, however fast the pool refills.
    const auto soon = start + milliseconds(240);
    successor.on_token_request(second, {customer, request_number{2}, 20}, soon);
    const auto grants = successor.grant_queued(soon);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().grant.tokens <= 16);
}

// Guards against the pool refilling tokens while a grant of them may still be used.
TEST_CASE("the pool does not refill tokens that are in transit") {
    auto owner = full_owner();
    const auto full = start + seconds(10);
    owner.on_token_request(second, {customer, request_number{1}, 20}, full);
    REQUIRE(owner.grant_queued(full).size() == 1);
    owner.on_token_request(second, {customer, request_number{2}, 2}, full + milliseconds(200));
    CHECK(owner.grant_queued(full + milliseconds(200)).empty());
    owner.on_receipt(second, {customer, fleet_version{1}, request_number{1}},
                     full + milliseconds(201));
    CHECK(owner.grant_queued(full + milliseconds(402)).size() == 1);
}
