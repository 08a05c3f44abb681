#include "log_holder_registry.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "fakes.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const group_id group_name{"ledger"};
const std::string row_key = "failover/ledger";

/// A group with the primary "a" and the replicas "b" and "c".
class registry_fixture {
public:
    registry_fixture() {
        connector.add("a", true).position = 12;
        connector.add("b", false).position = 12;
        connector.add("c", false).position = 12;
        auto environment = make_local_environment(context_.get_executor(), connector, metrics_);
        group_ = std::make_shared<backend_group>(group_name, std::move(environment));
        prove_leadership(*group_);
        list_instances();
        registry_ = std::make_unique<log_holder_registry>(
            group_, log_holder_registry::environment{
                        context_.get_executor(), store, connector, host_id{"host-1"},
                        [] { return std::vector{host_id{"host-1"}}; }});
    }

    void list_instances() {
        group_settings settings;
        settings.name = group_name;
        settings.max_connections = 20;
        settings.sync_replicas = sync_replicas;
        group_->update(settings, connector.entries(), {});
    }

    /// The instance ends and disappears from the directory.
    void lose(const std::string& name) {
        connector.at(name).refuses_connections = true;
        connector.at(name).is_listed = false;
        list_instances();
    }

    std::set<std::string> update() {
        boost::asio::co_spawn(context_, registry_->update(), boost::asio::detached);
        context_.restart();
        context_.run_for(milliseconds{20});
        const auto row = decode_failover_row({row_key, fleet_version{1}, store.value_of(row_key)});
        std::set<std::string> result;
        for (const auto& [id, address] : row.record.log_holders) {
            result.insert(id.str());
        }
        return result;
    }

    fake_connector connector;
    fake_store store;
    unsigned sync_replicas = 1;

private:
    boost::asio::io_context context_{1};
    gateway_metrics metrics_;
    std::shared_ptr<backend_group> group_;
    std::unique_ptr<log_holder_registry> registry_;
};

using names = std::set<std::string>;

}  // namespace

// A host that promotes later learns from the row which instances may have the latest commits.
TEST_CASE("listed instances are recorded as log holders") {
    registry_fixture fixture;
    CHECK(fixture.update() == names{"a", "b", "c"});
    fixture.connector.add("d", false).position = 3;
    fixture.list_instances();
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
}

// Guards against a promotion of the remaining replica without the commits that only the lost one
// had received.
TEST_CASE("a lost instance remains a log holder until another replica has caught up") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    fixture.lose("c");
    CHECK(fixture.update() == names{"a", "b", "c"});
    fixture.connector.at("b").position = 12;
    CHECK(fixture.update() == names{"a", "b"});
}

// With two synchronous replicas, a promotion may ignore two unknown logs, so each acknowledged
// commit must be in three of the recorded ones.
TEST_CASE("a lost instance remains a log holder until as many others as a commit takes caught up") {
    registry_fixture fixture;
    fixture.sync_replicas = 2;
    fixture.connector.add("d", false).position = 10;
    fixture.list_instances();
    fixture.update();
    fixture.lose("c");
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
    fixture.connector.at("d").position = 12;
    CHECK(fixture.update() == names{"a", "b", "d"});
}

TEST_CASE("a lost instance remains a log holder while the primary does not answer") {
    registry_fixture fixture;
    fixture.update();
    fixture.lose("c");
    fixture.connector.at("a").refuses_connections = true;
    CHECK(fixture.update() == names{"a", "b", "c"});
}

// A replica that is cut off from the store continues to receive and acknowledge commits.
TEST_CASE("an unlisted instance that runs remains a log holder") {
    registry_fixture fixture;
    fixture.update();
    fixture.lose("c");
    fixture.connector.at("c").refuses_connections = false;
    CHECK(fixture.update() == names{"a", "b", "c"});
}

// An instance that crashed comes back with its log and a new id at its address. While its old id
// counts as a lost log, its group cannot be led by anything but the old primary.
TEST_CASE("an instance that has started again under another id replaces its old entry") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    fixture.lose("c");
    fixture.connector.add("d", false).position = 12;
    fixture.connector.at("d").entry.address = fixture.connector.at("c").entry.address;
    fixture.list_instances();
    CHECK(fixture.update() == names{"a", "b", "d"});
}

TEST_CASE("the log holders are not changed during a failover") {
    registry_fixture fixture;
    fixture.update();
    failover_record open{7, true, {}, {}};
    open.log_holders[instance_id{"a"}] = endpoint_address{"a.example:1"};
    fixture.store.put(row_key, encode_failover_row(open, host_id{"host-2"}));
    CHECK(fixture.update() == names{"a"});
}
