#include <doctest/doctest.h>

#include "control_state.hpp"
#include "instance_directory.hpp"

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(100);

control_snapshot make_snapshot(std::uint64_t version) {
    auto configuration = std::make_shared<gateway_configuration>();
    configuration->version = version;
    return {std::move(configuration), {}};
}

instance_entry entry(const char* name) {
    instance_entry item;
    item.id = instance_id{name};
    item.group = group_id{"ledger"};
    return item;
}

}  // namespace

// The configuration must not revert to an older version within a process.
TEST_CASE("an older configuration is ignored and does not renew the proof of currency") {
    control_state control;
    CHECK_FALSE(control.proof_age(start));
    CHECK(control.apply(make_snapshot(7), start));
    CHECK_FALSE(control.apply(make_snapshot(6), start + seconds{3}));
    CHECK(control.configuration()->version == 7);
    CHECK(control.proof_age(start + seconds{3}) == seconds{3});
    CHECK_FALSE(control.apply(make_snapshot(7), start + seconds{4}));
    CHECK(control.proof_age(start + seconds{4}) == seconds{0});
}

// After a restore of the store, operators may assign a configuration version again.
TEST_CASE("a configuration with the same version and other contents is applied") {
    control_state control;
    CHECK(control.apply(make_snapshot(7), start));
    auto configuration = std::make_shared<gateway_configuration>();
    configuration->version = 7;
    configuration->digest = 1;
    CHECK(control.apply({configuration, {}}, start + seconds{1}));
    CHECK(control.configuration() == configuration);
    // A relayed copy that was read earlier.
    CHECK_FALSE(control.apply(make_snapshot(7), start + milliseconds{500}));
    CHECK(control.configuration() == configuration);
}

// A host that has lost the store must stop accepting a revoked key.
TEST_CASE("a proof of currency expires") {
    control_state control;
    control.apply(make_snapshot(1), start);
    CHECK(control.is_current(start + milliseconds{4400}, control_state::request_max_age));
    CHECK_FALSE(
        control.is_current(start + control_state::request_max_age, control_state::request_max_age));
    // A revoked key must be refused within 5 s.
    CHECK(control_state::request_max_age + milliseconds{300} <= milliseconds{5000});
}

TEST_CASE("a change of the evacuated failure domains alone is applied") {
    control_state control;
    control.apply(make_snapshot(1), start);
    auto evacuated = make_snapshot(1);
    evacuated.evacuated.insert(failure_domain_id{"north"});
    CHECK(control.apply(evacuated, start + seconds{1}));
    CHECK(control.evacuated().size() == 1);
    CHECK(control.apply(make_snapshot(1), start + seconds{2}));
    CHECK(control.evacuated().empty());
}

// Registrations expire during a store outage although the instances are running.
TEST_CASE("an instance is removed only after its entry has been missing for the grace period") {
    instance_directory directory;
    CHECK_FALSE(directory.is_loaded());
    directory.apply({entry("a"), entry("b")}, start);
    directory.apply({entry("a")}, start + seconds{1});
    CHECK(directory.entries_of(group_id{"ledger"}).size() == 2);
    directory.on_store_lost();
    directory.apply({entry("a")}, start + seconds{9});
    directory.apply({entry("a")}, start + seconds{11});
    CHECK(directory.entries_of(group_id{"ledger"}).size() == 2);
    directory.apply({entry("a")}, start + seconds{12});
    CHECK(directory.entries_of(group_id{"ledger"}).size() == 1);
    directory.apply({entry("a"), entry("b")}, start + seconds{13});
    CHECK(directory.entries_of(group_id{"ledger"}).size() == 2);
}

// After a restore of the store, an instance that was shutting down received new work again until it
// had written its entry anew.
TEST_CASE("an entry that a restore of the store has set back is ignored") {
    instance_directory directory;
    auto ready = entry("a");
    ready.start_time = 5;
    ready.sequence = 7;
    auto leaving = ready;
    leaving.sequence = 9;
    leaving.leaving = true;
    directory.apply({leaving}, start);
    directory.apply({ready}, start + seconds{1});
    REQUIRE(directory.entries_of(group_id{"ledger"}).size() == 1);
    CHECK(directory.entries_of(group_id{"ledger"}).front().leaving);
    // A new process of the same instance counts from the start.
    auto restarted = ready;
    restarted.start_time = 6;
    restarted.sequence = 1;
    directory.apply({restarted}, start + seconds{2});
    CHECK_FALSE(directory.entries_of(group_id{"ledger"}).front().leaving);
}

// Guards against new work for an instance that has left, when the store comes back from a copy.
TEST_CASE("an entry that was removed is ignored if a restore brings back an older one") {
    instance_directory directory;
    auto ready = entry("a");
    ready.sequence = 7;
    auto leaving = ready;
    leaving.sequence = 9;
    leaving.leaving = true;
    directory.apply({leaving}, start);
    directory.apply({}, start + seconds{1});
    directory.apply({}, start + seconds{4});
    REQUIRE(directory.entries_of(group_id{"ledger"}).empty());
    directory.apply({ready}, start + seconds{5});
    CHECK(directory.entries_of(group_id{"ledger"}).empty());
    // An instance that is running writes its entry again.
    ready.sequence = 10;
    directory.apply({ready}, start + seconds{6});
    CHECK(directory.entries_of(group_id{"ledger"}).size() == 1);
}
