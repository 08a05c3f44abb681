#include "masticgrade/control/commands.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "fakes.hpp"
#include "masticgrade/base/base64url.hpp"
#include "masticgrade/version/key_index.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

using namespace masticgrade;
namespace fs = std::filesystem;

namespace {

const std::string valid_folder = R"([[group]]
name = "ledger"
max_connections = 20
slots = 3
instances = [{ id = "db-1", address = "127.0.0.1:5001", failure_domain = "Falun" }]
[[route]]
name = "bookings"
group = "ledger"
[[customer]]
name = "kust"
rate = 10
burst = 20
routes = ["bookings"]
keys = [{ id = "k1", sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" }]
)";

/// An in-memory fleet and a temporary configuration folder on disk.
class fixture {
public:
    fake::table table;
    fake::proxies proxies;

    fixture() {
        auto pattern = (fs::temp_directory_path() / "commands_test.XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        write("10.toml", valid_folder);
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;
    ~fixture() { fs::remove_all(folder_); }

    void write(const std::string& name, const std::string& text) const {
        std::ofstream{folder_ / name} << text;
    }
    [[nodiscard]] std::string read(const std::string& name) const {
        std::ifstream input{folder_ / name};
        return {std::istreambuf_iterator<char>{input}, {}};
    }
    command_result run(const control_command& command) {
        const control_services services{table, proxies, steady_clock::now() + milliseconds{100},
                                        milliseconds{1}};
        return fake::run(run_command(services, command));
    }
    command_result apply(const std::string& name = "anna",
                         std::optional<fleet_version> base = std::nullopt) {
        return run(apply_command{folder_.string(), base, name});
    }
    fleet_snapshot_ptr snapshot() {
        return apply_rows(nullptr, fake::run(table.scan("fleet/", {}, {})).rows).snapshot;
    }

private:
    fs::path folder_;
};

}  // namespace

// Guards against an edit that silently overwrites the edit of another operator.
TEST_CASE("apply records a configuration once, and a conflict names the other operator") {
    fixture fleet;
    const auto first = fleet.apply();
    CHECK(first.code == exit_code::done);
    CHECK(fleet.read(".masticgrade-version") == "1\n");
    fleet.write("20.toml", "[[customer]]\nname = \"skog\"\nrate = 1\nburst = 1\nroutes = []\n");
    CHECK(fleet.apply("björn", fleet_version{1}).code == exit_code::done);
    CHECK(fleet.read(".masticgrade-version") == "2\n");

    const auto conflict = fleet.apply("anna", fleet_version{1});
    CHECK(conflict.code == exit_code::conflict);
    CHECK(conflict.document.at("version").as_uint64() == 2);
    CHECK(conflict.document.at("operator").as_string() == "björn");
    CHECK(fleet.table.commits == 2);
    CHECK(fleet.apply().code == exit_code::done);
    CHECK(fleet.table.commits == 2);
}

// Guards against a change by another operator between the read and the commit.
TEST_CASE("apply reports a conflict with a concurrent change") {
    fixture fleet;
    fleet.table.before_commit = [&] {
        fleet.table.put("fleet/config", encode_config_row({{}, {}, "björn"}, "other"));
    };
    const auto result = fleet.apply();
    CHECK(result.code == exit_code::conflict);
    CHECK(result.document.at("operator").as_string() == "björn");
    CHECK(fleet.read(".masticgrade-version").empty());
}

TEST_CASE("apply validates the folder first and replaces a row that hosts cannot decode") {
    fixture fleet;
    fleet.table.put("fleet/config", "[]");
    fleet.write("20.toml", "[[customer]]\nname = \"skog\"\n");
    CHECK(fleet.apply().code == exit_code::invalid_configuration);
    CHECK(fleet.table.commits == 0);
    fleet.write("20.toml", "");
    CHECK(fleet.apply("anna", fleet_version{1}).code == exit_code::done);
    CHECK(fleet.snapshot()->config.customers.size() == 1);
}

// Guards against reporting a change as accepted before a majority of the members has applied it.
TEST_CASE("a change applied by only half of the members is not accepted") {
    fixture fleet;
    fleet.proxies.members = 6;
    fleet.proxies.up_to_date = 3;
    const auto result = fleet.apply();
    CHECK(result.code == exit_code::not_acknowledged);
    CHECK(result.document.at("outcome").as_string() == "recorded");
    CHECK(fleet.read(".masticgrade-version") == "1\n");
    fleet.proxies.up_to_date = 4;
    CHECK(fleet.apply().code == exit_code::done);
    fleet.proxies.members = 0;
    CHECK(fleet.run(drain_command{true, subject_kind::domain, "Falun"}).code ==
          exit_code::not_acknowledged);
}

TEST_CASE("drain and return accept known names and warn about a group without service") {
    fixture fleet;
    REQUIRE(fleet.apply().code == exit_code::done);
    const auto drained = fleet.run(drain_command{true, subject_kind::domain, "Falun"});
    CHECK(drained.code == exit_code::done);
    CHECK(drained.document.at("groups_without_service").as_array().size() == 1);
    CHECK(fleet.snapshot()->drained_instances.contains(instance_id{"db-1"}));
    CHECK(fleet.run(drain_command{false, subject_kind::domain, "Falun"}).code == exit_code::done);
    CHECK(fleet.snapshot()->drained_instances.empty());
    CHECK_THROWS_WITH_AS(fleet.run(drain_command{true, subject_kind::server, "db-9"}),
                         doctest::Contains("db-9"), error);
}

// Guards against keys that do not authenticate, secrets stored in plain text, and revoked keys that
// become valid again.
TEST_CASE("a key is printed once, stored as a hash, and stays revoked") {
    fixture fleet;
    REQUIRE(fleet.apply().code == exit_code::done);
    const auto added = fleet.run(add_key_command{customer_id{"kust"}, key_id{"k2"}});
    REQUIRE(added.code == exit_code::done);
    const std::string secret{added.document.at("key").as_string()};
    CHECK(decode_base64url(secret).value().size() == 32);
    CHECK(fleet.table.row("fleet/operations").value.find(secret) == std::string::npos);
    const auto snapshot = fleet.snapshot();
    const auto* owner = snapshot->keys->find(digest_key(secret));
    REQUIRE(owner != nullptr);
    CHECK(owner->customer == customer_id{"kust"});

    CHECK(fleet.run(revoke_key_command{key_id{"k2"}}).code == exit_code::done);
    CHECK(fleet.run(revoke_key_command{key_id{"k1"}}).code == exit_code::done);
    CHECK(fleet.snapshot()->keys->size() == 0);
    CHECK_THROWS_AS(fleet.run(add_key_command{customer_id{"kust"}, key_id{"k2"}}), error);
    CHECK_THROWS_AS(fleet.run(revoke_key_command{key_id{"k9"}}), error);
    // A later configuration that lists the same key under a new id does not make it valid again.
    auto renamed = valid_folder;
    renamed.replace(renamed.find("\"k1\""), 4, "\"k7\"");
    fleet.write("10.toml", renamed);
    CHECK(fleet.apply().code == exit_code::done);
    CHECK(fleet.snapshot()->keys->find(digest_key("abc")) == nullptr);
}

// Guards against showing a key that may never become valid.
TEST_CASE("a key is not shown if it is unknown whether it was recorded") {
    fixture fleet;
    REQUIRE(fleet.apply().code == exit_code::done);
    fleet.table.faults.assign(1000, fake::commit_fault::request_lost);
    const auto result = fleet.run(add_key_command{customer_id{"kust"}});
    CHECK(result.code == exit_code::outcome_unknown);
    CHECK_FALSE(result.document.contains("key"));
    CHECK(result.document.contains("id"));
}

TEST_CASE("explain and status describe the fleet in force, and unknown names are errors") {
    fixture fleet;
    REQUIRE(fleet.apply().code == exit_code::done);
    const auto customer = fleet.run(explain_command{subject_kind::customer, "kust"});
    CHECK(customer.text.find("- id=k1 source=folder state=valid") != std::string::npos);
    const auto domain = fleet.run(explain_command{subject_kind::domain, "Falun"});
    CHECK(domain.document.at("backend_servers").as_array().size() == 1);
    for (const auto kind : {subject_kind::customer, subject_kind::group, subject_kind::domain}) {
        CHECK_THROWS_AS(fleet.run(explain_command{kind, "nobody"}), error);
    }
    fleet.table.put("fleet/groups/ledger", "{}");
    const auto status = fleet.run(status_command{});
    CHECK(status.document.at("platform").at("undecodable_rows").as_array().size() == 1);
    fleet.table.scans_fail = true;
    const auto partial = fleet.run(status_command{});
    CHECK(partial.code == exit_code::failed);
    CHECK(partial.document.at("proxy").as_object().contains("members"));
}
