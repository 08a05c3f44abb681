#include "masticgrade/failover/promotion.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point begin{seconds{100}};
const std::vector<instance_id> instances{instance_id{"i0"}, instance_id{"i1"}, instance_id{"i2"}};

promotion_request request_for(bool planned) {
    promotion_request request;
    request.group = group_id{"ledger"};
    request.coordinator = host_id{"h0"};
    request.observed.version = fleet_version{5};
    request.observed.term = term_number{1};
    request.observed.primary = instances[0];
    request.instances = instances;
    request.planned = planned;
    request.mark = "m";
    return request;
}

template <class Action>
std::vector<Action> all(const promotion_actions& actions) {
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

seal_response sealed(int instance, std::uint64_t last_term, std::uint64_t received) {
    return {instances[static_cast<std::size_t>(instance)],
            term_number{2},
            true,
            term_number{2},
            term_number{last_term},
            log_position{received}};
}

instance_state state_of(int instance, instance_role role, std::uint64_t received) {
    return {{instances[static_cast<std::size_t>(instance)], term_number{1}, log_position{received},
             log_position{received}, begin},
            role,
            term_number{1},
            milliseconds{0}};
}

/// An attempt whose first commit succeeded.
promotion sealing_attempt(promotion_request request) {
    promotion attempt{std::move(request), {}, begin};
    const auto first = attempt.start(begin);
    REQUIRE(all<commit_record>(first).size() == 1);
    attempt.handle(commit_response{"m/sealing", commit_outcome::committed, fleet_version{6}},
                   begin);
    return attempt;
}

}  // namespace

// Guards against work being promoted onto an instance that operators are about to take away.
TEST_CASE("an avoided instance is not chosen while another has an equally long log") {
    auto request = request_for(false);
    request.avoided = {instances[1]};
    auto attempt = sealing_attempt(request);
    attempt.handle(sealed(0, 1, 5), begin);
    auto promoted = all<promote_instance>(attempt.handle(sealed(1, 1, 7), begin));
    CHECK(promoted.empty());
    promoted = all<promote_instance>(attempt.handle(sealed(2, 1, 7), begin));
    REQUIRE(promoted.size() == 1);
    CHECK(promoted.front().instance == instances[2]);
}

// Guards against lost writes, and against a group without primary, when only the avoided instance
// has the longest log.
TEST_CASE("an avoided instance with the longest log is chosen after a short wait") {
    auto request = request_for(false);
    request.avoided = {instances[1]};
    auto attempt = sealing_attempt(request);
    attempt.handle(sealed(0, 1, 5), begin);
    attempt.handle(sealed(1, 1, 7), begin);
    CHECK(attempt.next_wakeup() <= begin + milliseconds{100});
    const auto promoted =
        all<promote_instance>(attempt.handle(time_passed{}, begin + milliseconds{100}));
    REQUIRE(promoted.size() == 1);
    CHECK(promoted.front().instance == instances[1]);
}

// Guards against a second primary of one term after a lost answer of `promote`.
TEST_CASE("an unanswered promote ends the attempt and is never sent to another instance") {
    auto attempt = sealing_attempt(request_for(false));
    attempt.handle(sealed(1, 1, 7), begin);
    attempt.handle(sealed(2, 1, 6), begin);
    attempt.handle(sealed(0, 1, 9), begin);
    std::vector<promotion_failed> failures;
    for (auto now = begin; !attempt.finished() && now < begin + seconds{5};
         now += milliseconds{50}) {
        const auto actions = attempt.handle(time_passed{}, now);
        for (const auto& repeated : all<promote_instance>(actions)) {
            CHECK(repeated.instance == instances[1]);
        }
        const auto failed = all<promotion_failed>(actions);
        failures.insert(failures.end(), failed.begin(), failed.end());
    }
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().reason == promotion_failure::promote_unanswered);
}

// Guards against an attempt that a repeated seal, answered after `promote`, ends without reason.
TEST_CASE("only a refusal at a higher term ends the attempt") {
    auto attempt = sealing_attempt(request_for(false));
    attempt.handle(sealed(1, 1, 7), begin);
    attempt.handle(sealed(2, 1, 6), begin);
    auto refused = sealed(1, 1, 7);
    refused.sealed = false;
    CHECK(attempt.handle(refused, begin).empty());
    CHECK_FALSE(attempt.finished());
    refused.held_term = term_number{3};
    const auto failures = all<promotion_failed>(attempt.handle(refused, begin));
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().reason == promotion_failure::superseded);
}

// Guards against a switch that leaves the group without a primary while replicas are far behind.
TEST_CASE("a planned switch changes nothing until a replica is near") {
    promotion attempt{request_for(true), {}, begin};
    attempt.start(begin);
    auto actions = attempt.handle(state_of(0, instance_role::primary, 50), begin);
    actions = attempt.handle(state_of(1, instance_role::replica, 20), begin);
    CHECK(all<commit_record>(actions).empty());
    actions = attempt.handle(time_passed{}, begin + seconds{1});
    REQUIRE(all<promotion_failed>(actions).size() == 1);
    CHECK(all<promotion_failed>(actions).front().reason == promotion_failure::no_candidate);
}

// Guards against a switch that drops what the old primary accepted last, or that seals the replica
// before it has received it.
TEST_CASE("a planned switch seals the old primary first and waits for a replica") {
    promotion attempt{request_for(true), {}, begin};
    attempt.start(begin);
    attempt.handle(state_of(0, instance_role::primary, 50), begin);
    auto actions = attempt.handle(state_of(1, instance_role::replica, 50), begin);
    REQUIRE(all<commit_record>(actions).size() == 1);
    actions = attempt.handle(
        commit_response{"m/sealing", commit_outcome::committed, fleet_version{6}}, begin);
    REQUIRE(all<seal_instance>(actions).size() == 1);
    CHECK(all<seal_instance>(actions).front().instance == instances[0]);
    actions = attempt.handle(sealed(0, 1, 60), begin);
    CHECK(all<seal_instance>(actions).empty());
    actions = attempt.handle(state_of(1, instance_role::replica, 60), begin);
    CHECK(all<seal_instance>(actions).size() == 2);
    actions = attempt.handle(sealed(1, 1, 60), begin);
    REQUIRE(all<promote_instance>(actions).size() == 1);
    CHECK(all<promote_instance>(actions).front().instance == instances[1]);
}

// Guards against an attempt that gives up, or believes that it won, on an unclear store answer.
TEST_CASE("an unclear commit is resolved by reading the row") {
    promotion attempt{request_for(false), {}, begin};
    attempt.start(begin);
    auto actions = attempt.handle(commit_response{"m/sealing", commit_outcome::unknown, {}}, begin);
    CHECK(all<read_record>(actions).size() == 1);

    group_record row;
    row.version = fleet_version{5};
    attempt.handle(record_read{row}, begin);
    actions = attempt.handle(time_passed{}, begin + milliseconds{100});
    REQUIRE(all<commit_record>(actions).size() == 1);
    CHECK(all<commit_record>(actions).front().expected == fleet_version{5});

    attempt.handle(commit_response{"m/sealing", commit_outcome::conflict, {}}, begin);
    row.version = fleet_version{6};
    row.mark = "m/sealing";
    actions = attempt.handle(record_read{row}, begin);
    CHECK(all<seal_instance>(actions).size() == 3);
}
