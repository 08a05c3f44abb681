#include "masticgrade/version/row_codec.hpp"

#include <doctest/doctest.h>

#include "generators.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/version/configuration_codec.hpp"

using namespace masticgrade;
namespace json = boost::json;

namespace {

constexpr fleet_version version{7};

table_row row(std::string_view key, std::string value) {
    return {std::string{key}, version, std::move(value)};
}

operations make_operations() {
    operations ops;
    ops.version = version;
    ops.drained_domains = {failure_domain_id{"Falun"}};
    ops.drained_servers = {instance_id{"db-1"}};
    ops.added_keys[customer_id{"kust"}] = {{key_id{"k1"}, generate::hash_of("one")},
                                           {key_id{"k2"}, generate::hash_of("two")}};
    ops.revoked_keys = {key_id{"k0"}};
    ops.revoked_hashes = {generate::hash_of("zero")};
    return ops;
}

void run_all_decoders(const table_row& candidate) {
    const auto attempt = [&](auto decode) {
        try {
            decode(candidate);
        } catch (const error&) {
        }
    };
    attempt(decode_config_row);
    attempt(decode_operations_row);
    attempt(decode_members_row);
    attempt(decode_group_row);
    attempt(decode_row_state);
}

}  // namespace

// Guards against fields that are lost when a row is encoded or decoded.
TEST_CASE("encoding and decoding a row preserves it") {
    CHECK(rc::check("config", [] {
        const config_row before{version, generate::config(), "anna", generate::marks()};
        const auto after = decode_config_row(row(config_row_key, encode_config_row(before, "new")));
        RC_ASSERT(after.operator_name == "anna");
        RC_ASSERT(encode_configuration(after.document) == encode_configuration(before.document));
        RC_ASSERT(after.marks.newest() == "new");
    }));
    CHECK(rc::check("members", [](std::uint64_t incarnation) {
        members before{version, {}, generate::marks()};
        const host_id id{"host-1"};
        before.hosts[id] = {id, endpoint_address{"10.0.0.1:80"}, failure_domain_id{"Mifune"},
                            incarnation_number{incarnation}};
        const auto after =
            decode_members_row(row(members_row_key, encode_members_row(before, "new")));
        RC_ASSERT(after.hosts == before.hosts);
        RC_ASSERT(after.version == version);
    }));
    CHECK(rc::check("group", [](std::uint64_t term, std::uint64_t position, bool sealing) {
        const group_record before{version,
                                  term_number{term},
                                  instance_id{sealing ? "" : "db-1"},
                                  log_position{position},
                                  sealing ? group_phase::sealing : group_phase::active,
                                  host_id{"host-1"},
                                  "old",
                                  generate::marks()};
        const auto after = decode_group_row(row("fleet/groups/g", encode_group_row(before, "new")));
        RC_ASSERT(after.term == before.term);
        RC_ASSERT(after.primary == before.primary);
        RC_ASSERT(after.start_position == before.start_position);
        RC_ASSERT(after.phase == before.phase);
        RC_ASSERT(after.coordinator == before.coordinator);
        RC_ASSERT(after.mark == "new");
    }));
    const auto before = make_operations();
    const auto after =
        decode_operations_row(row(operations_row_key, encode_operations_row(before, "new")));
    CHECK(after.drained_domains == before.drained_domains);
    CHECK(after.drained_servers == before.drained_servers);
    CHECK(after.revoked_keys == before.revoked_keys);
    CHECK(after.revoked_hashes == before.revoked_hashes);
    const auto& keys = after.added_keys.at(customer_id{"kust"});
    REQUIRE(keys.size() == 2);
    CHECK(keys[1].hash == generate::hash_of("two"));
}

// Guards against a malformed row that crashes every host.
TEST_CASE("malformed rows do not crash the decoders") {
    CHECK(rc::check("random bytes",
                    [](const std::string& value) { run_all_decoders(row("fleet/x", value)); }));
    CHECK(rc::check("mutated rows", [] {
        const members hosts{version, {{host_id{"h"}, {}}}, generate::marks()};
        auto value = json::parse(*rc::gen::element(
            encode_operations_row(make_operations(), "new"), encode_members_row(hosts, "new"),
            encode_group_row({}, "new"), encode_config_row({version, generate::config()}, "new")));
        generate::mutate(value);
        run_all_decoders(row("fleet/x", json::serialize(value)));
    }));
}

// Guards against an active group without a primary, which could not execute writes.
TEST_CASE("an active group row without a primary is rejected") {
    group_record record;
    record.phase = group_phase::active;
    CHECK_THROWS_WITH_AS(decode_group_row(row("fleet/groups/g", encode_group_row(record, "m"))),
                         doctest::Contains("primary"), error);
}

// Guards against a committed change that is retried or reported as lost.
TEST_CASE("the marks determine the outcome of a change without a definite answer") {
    CHECK(rc::check("change resolution", [] {
        const int later_changes = *rc::gen::inRange(0, 12);
        const bool committed = *rc::gen::arbitrary<bool>();
        const row_state base{fleet_version{5}, generate::marks()};
        row_state present = base;
        const auto change = [&](std::string mark) {
            present.version = present.version.next();
            present.marks.add(std::move(mark));
        };
        if (committed) {
            change("mine");
        }
        for (int i = 0; i < later_changes; ++i) {
            change(generate::name("other", i));
        }
        const auto resolution = resolve_change(base, "mine", present);
        if (committed) {
            RC_ASSERT(resolution == (later_changes < 8 ? change_resolution::committed
                                                       : change_resolution::unknown));
        } else if (later_changes == 0) {
            RC_ASSERT(resolution == change_resolution::pending);
        } else {
            RC_ASSERT(resolution == change_resolution::lost ||
                      resolution == change_resolution::unknown);
            RC_ASSERT(resolution == change_resolution::lost || later_changes >= 8);
        }
    }));
}
