#include "masticgrade/failover/promotion.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point start_time{seconds{100}};
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
std::vector<Action> actions_of(const promotion_actions& actions) {
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
             log_position{received}, start_time},
            role,
            term_number{1},
            milliseconds{0}};
}

/// An attempt whose first commit succeeded.
promotion sealing_attempt(promotion_request request) {
    promotion attempt{std::move(request), {}, start_time};
    const auto first = attempt.start(start_time);
    REQUIRE(actions_of<commit_record>(first).size() == 1);
    attempt.handle(commit_response{"m/sealing", commit_outcome::committed, fleet_version{6}},
                   start_time);
    return attempt;
}

}  // namespace

// Guards against promoting an instance that operators are about to take out of service.
TEST_CASE("an avoided instance is not chosen while another has an equally long log") {
    auto request = request_for(false);
    request.avoided = {instances[1]};
    auto attempt = sealing_attempt(request);
    attempt.handle(sealed(0, 1, 5), start_time);
    auto promoted = actions_of<promote_instance>(attempt.handle(sealed(1, 1, 7), start_time));
    CHECK(promoted.empty());
    promoted = actions_of<promote_instance>(attempt.handle(sealed(2, 1, 7), start_time));
    REQUIRE(promoted.size() == 1);
    CHECK(promoted.front().instance == instances[2]);
}

// Guards against lost writes, and against a group without a primary, when only the avoided instance
// has the longest log.
TEST_CASE("an avoided instance with the longest log is chosen after a delay") {
    auto request = request_for(false);
    request.avoided = {instances[1]};
    auto attempt = sealing_attempt(request);
    attempt.handle(sealed(0, 1, 5), start_time);
    attempt.handle(sealed(1, 1, 7), start_time);
    CHECK(attempt.next_wakeup() <= start_time + milliseconds{100});
    const auto promoted =
        actions_of<promote_instance>(attempt.handle(time_passed{}, start_time + milliseconds{100}));
    REQUIRE(promoted.size() == 1);
    CHECK(promoted.front().instance == instances[1]);
}

// Guards against a second primary of the same term after a lost response to `promote`.
TEST_CASE("a promote without a response ends the attempt and is not sent to another instance") {
    auto attempt = sealing_attempt(request_for(false));
    attempt.handle(sealed(1, 1, 7), start_time);
    attempt.handle(sealed(2, 1, 6), start_time);
    attempt.handle(sealed(0, 1, 9), start_time);
    std::vector<promotion_failed> failures;
    for (auto now = start_time; !attempt.finished() && now < start_time + seconds{5};
         now += milliseconds{50}) {
        const auto actions = attempt.handle(time_passed{}, now);
        for (const auto& repeated : actions_of<promote_instance>(actions)) {
            CHECK(repeated.instance == instances[1]);
        }
        const auto failed = actions_of<promotion_failed>(actions);
        failures.insert(failures.end(), failed.begin(), failed.end());
    }
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().reason == promotion_failure::promote_unanswered);
}

// Guards against ending an attempt because of a repeated seal that is rejected after `promote`.
TEST_CASE("only a rejection at a higher term ends the attempt") {
    auto attempt = sealing_attempt(request_for(false));
    attempt.handle(sealed(1, 1, 7), start_time);
    attempt.handle(sealed(2, 1, 6), start_time);
    auto rejection = sealed(1, 1, 7);
    rejection.sealed = false;
    CHECK(attempt.handle(rejection, start_time).empty());
    CHECK_FALSE(attempt.finished());
    rejection.held_term = term_number{3};
    const auto failures = actions_of<promotion_failed>(attempt.handle(rejection, start_time));
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().reason == promotion_failure::superseded);
}

// Guards against a switchover that leaves the group without a primary while its replicas lag.
TEST_CASE("a planned switchover changes nothing until a replica has caught up") {
    promotion attempt{request_for(true), {}, start_time};
    attempt.start(start_time);
    auto actions = attempt.handle(state_of(0, instance_role::primary, 50), start_time);
    actions = attempt.handle(state_of(1, instance_role::replica, 20), start_time);
    CHECK(actions_of<commit_record>(actions).empty());
    actions = attempt.handle(time_passed{}, start_time + seconds{1});
    REQUIRE(actions_of<promotion_failed>(actions).size() == 1);
    CHECK(actions_of<promotion_failed>(actions).front().reason == promotion_failure::no_candidate);
}

// Guards against a switchover that loses the last writes of the old primary, or that seals the
// replica before it has received them.
TEST_CASE("a planned switchover seals the old primary first and waits for a replica") {
    promotion attempt{request_for(true), {}, start_time};
    attempt.start(start_time);
    attempt.handle(state_of(0, instance_role::primary, 50), start_time);
    auto actions = attempt.handle(state_of(1, instance_role::replica, 50), start_time);
    REQUIRE(actions_of<commit_record>(actions).size() == 1);
    actions = attempt.handle(
        commit_response{"m/sealing", commit_outcome::committed, fleet_version{6}}, start_time);
    REQUIRE(actions_of<seal_instance>(actions).size() == 1);
    CHECK(actions_of<seal_instance>(actions).front().instance == instances[0]);
    actions = attempt.handle(sealed(0, 1, 60), start_time);
    CHECK(actions_of<seal_instance>(actions).empty());
    actions = attempt.handle(state_of(1, instance_role::replica, 60), start_time);
    CHECK(actions_of<seal_instance>(actions).size() == 2);
    actions = attempt.handle(sealed(1, 1, 60), start_time);
    REQUIRE(actions_of<promote_instance>(actions).size() == 1);
    CHECK(actions_of<promote_instance>(actions).front().instance == instances[1]);
}

// Guards against an attempt that takes a commit with an unknown outcome for a failure or a success.
TEST_CASE("an unknown commit outcome is resolved by reading the row") {
    promotion attempt{request_for(false), {}, start_time};
    attempt.start(start_time);
    auto actions =
        attempt.handle(commit_response{"m/sealing", commit_outcome::unknown, {}}, start_time);
    CHECK(actions_of<read_record>(actions).size() == 1);

    group_record row;
    row.version = fleet_version{5};
    attempt.handle(record_read{row}, start_time);
    actions = attempt.handle(time_passed{}, start_time + milliseconds{100});
    REQUIRE(actions_of<commit_record>(actions).size() == 1);
    CHECK(actions_of<commit_record>(actions).front().expected == fleet_version{5});

    attempt.handle(commit_response{"m/sealing", commit_outcome::conflict, {}}, start_time);
    row.version = fleet_version{6};
    row.mark = "m/sealing";
    actions = attempt.handle(record_read{row}, start_time);
    CHECK(actions_of<seal_instance>(actions).size() == 3);
}
