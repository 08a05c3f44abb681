#include "masticgrade/version/snapshot_builder.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "generators.hpp"
#include "masticgrade/version/row_codec.hpp"

using namespace masticgrade;

namespace {

table_row group_row(int group, std::uint64_t version) {
    group_record record;
    record.term = term_number{version};
    record.primary = instance_id{"db-1"};
    return {group_row_key(group_id{generate::name("group", group)}), fleet_version{version},
            encode_group_row(record, "m")};
}

}  // namespace

// Guards against a configuration or primary that reverts when rows arrive late or out of order.
TEST_CASE("the newest version of each row wins in any order of arrival") {
    CHECK(rc::check("order", [](unsigned seed) {
        std::vector<table_row> rows;
        for (std::uint64_t version = 1; version <= 20; ++version) {
            rows.push_back(group_row(*rc::gen::inRange(0, 4), version));
        }
        auto expected = apply_rows(nullptr, rows).snapshot;
        std::mt19937 random{seed};
        std::shuffle(rows.begin(), rows.end(), random);
        fleet_snapshot_ptr snapshot;
        fleet_version highest;
        for (const auto& row : rows) {
            snapshot = apply_rows(snapshot, {row}).snapshot;
            highest = std::max(highest, row.version);
            RC_ASSERT(snapshot->version == highest);
        }
        RC_ASSERT(snapshot->groups.size() == expected->groups.size());
        for (const auto& [group, record] : expected->groups) {
            RC_ASSERT(snapshot->groups.at(group).term == record.term);
            RC_ASSERT(snapshot->groups.at(group).version == record.version);
        }
    }));
}

// Guards against a malformed row that stops the fleet or prevents other rows from being applied.
TEST_CASE("a row that cannot be decoded keeps its previous content and is reported") {
    const auto before = apply_rows(nullptr, {group_row(1, 3), group_row(2, 4)}).snapshot;
    const auto update = apply_rows(before, {{"fleet/groups/group-1", fleet_version{5}, "{"},
                                            group_row(2, 6),
                                            {"fleet/config", fleet_version{7}, "[]"}});
    REQUIRE(update.rejected.size() == 2);
    CHECK(update.rejected.front().key == "fleet/groups/group-1");
    CHECK(update.rejected.front().version == fleet_version{5});
    CHECK(update.snapshot->groups.at(group_id{"group-1"}).term == term_number{3});
    CHECK(update.snapshot->groups.at(group_id{"group-2"}).term == term_number{6});
    CHECK(update.snapshot->version == fleet_version{7});
    CHECK(before->groups.at(group_id{"group-2"}).term == term_number{4});
    // A malformed row is reported only once, and a corrected version of it is applied.
    CHECK(apply_rows(update.snapshot, {{"fleet/config", fleet_version{7}, "[]"}}).rejected.empty());
    const auto repaired = apply_rows(update.snapshot, {group_row(1, 8)}).snapshot;
    CHECK(repaired->groups.at(group_id{"group-1"}).term == term_number{8});
}

TEST_CASE("rows that are not newer or lie outside fleet/ leave the snapshot unchanged") {
    const auto before = apply_rows(nullptr, {group_row(1, 3)}).snapshot;
    CHECK(apply_rows(before, {group_row(1, 3), group_row(1, 2)}).snapshot == before);
    CHECK(apply_rows(before, {{"objects/x", fleet_version{9}, "{}"}}).snapshot == before);
    CHECK(rows_modified_after(*before, fleet_version{2}).size() == 1);
    CHECK(rows_modified_after(*before, fleet_version{3}).empty());
}

// Guards against new work on the servers of a drained failure domain.
TEST_CASE("drained instances are derived from the operations and the configuration") {
    configuration config;
    config.groups[group_id{"g"}].instances = {
        {instance_id{"db-1"}, endpoint_address{"127.0.0.1:1"}, failure_domain_id{"Falun"}},
        {instance_id{"db-2"}, endpoint_address{"127.0.0.1:2"}, failure_domain_id{"Karlstad"}},
        {instance_id{"db-3"}, endpoint_address{"127.0.0.1:3"}, failure_domain_id{"Karlstad"}}};
    fleet_snapshot snapshot;
    snapshot.config = config;
    snapshot.ops.drained_domains = {failure_domain_id{"Falun"}};
    snapshot.ops.drained_servers = {instance_id{"db-3"}};
    const auto published = finalize_snapshot(std::move(snapshot));
    CHECK(published->drained_instances == std::set{instance_id{"db-1"}, instance_id{"db-3"}});
}
