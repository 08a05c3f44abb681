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

    /// The instance disappears from the directory and answers nobody.
    void lose(const std::string& name) {
        connector.at(name).refuses_connections = true;
        connector.at(name).is_listed = false;
        list_instances();
    }

    /// Another instance, which started later, takes over the address of a lost one.
    fake_instance& replace(const std::string& lost, const std::string& name) {
        lose(lost);
        auto& successor = connector.add(name, false);
        successor.entry.address = connector.at(lost).entry.address;
        successor.entry.start_time = connector.at(lost).entry.start_time + 1;
        list_instances();
        return successor;
    }

    /// The instance starts again under its id with an empty log.
    fake_instance& restart(const std::string& name) {
        auto& instance = connector.at(name);
        ++instance.entry.start_time;
        instance.position = 0;
        list_instances();
        return instance;
    }

    std::set<log_holder> update_holders() {
        boost::asio::co_spawn(context_, registry_->update(), boost::asio::detached);
        context_.restart();
        context_.run_for(milliseconds{20});
        const auto row = decode_failover_row({row_key, fleet_version{1}, store.value_of(row_key)});
        return row.record.log_holders;
    }

    [[nodiscard]] std::map<log_holder, log_index> bounds() const {
        return decode_failover_row({row_key, fleet_version{1}, store.value_of(row_key)})
            .record.log_bounds;
    }

    [[nodiscard]] std::optional<recorded_primary> primary() const {
        return decode_failover_row({row_key, fleet_version{1}, store.value_of(row_key)})
            .record.primary;
    }

    std::set<std::string> update() {
        std::set<std::string> result;
        for (const auto& holder : update_holders()) {
            result.insert(holder.instance.str());
        }
        return result;
    }

    /// Reads the failover row as the process does at intervals.
    void read_row(store_era era) {
        const auto row = decode_failover_row({row_key, fleet_version{1}, store.value_of(row_key)});
        group_->on_failover_row(row.record, boot_clock::now(), era);
    }

    [[nodiscard]] std::set<log_holder> known_holders() const { return group_->log_holders(); }

    /// Runs the registry for the time and returns how often it has read the store.
    unsigned reads_in(milliseconds length) {
        unsigned reads = 0;
        store.on_scan = [&] { ++reads; };
        boost::asio::co_spawn(context_, registry_->run(), boost::asio::detached);
        context_.restart();
        context_.run_for(length);
        store.on_scan = [] {};
        return reads;
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

// Hosts that start later recognize the primary's log by its process.
TEST_CASE("the process of the primary is recorded once it is known to lead") {
    registry_fixture fixture;
    SUBCASE("it does not answer") { fixture.connector.at("a").refuses_connections = true; }
    SUBCASE("it has lost the lead") { fixture.connector.at("a").is_primary = false; }
    fixture.update();
    CHECK_FALSE(fixture.primary());

    auto& primary = fixture.connector.at("a");
    primary.refuses_connections = false;
    primary.is_primary = true;
    fixture.list_instances();
    fixture.update();
    CHECK(fixture.primary() == recorded_primary{log_holder_of(primary.entry), store_era{1}});

    // It starts again with its log.
    ++primary.entry.start_time;
    fixture.list_instances();
    fixture.update();
    CHECK(fixture.primary() == recorded_primary{log_holder_of(primary.entry), store_era{1}});

    // A host of an earlier release keeps the log holders only.
    failover_record earlier;
    earlier.log_holders = fixture.update_holders();
    fixture.store.put(row_key, encode_failover_row(earlier, host_id{"host-2"}));
    fixture.read_row(store_era{1});
    CHECK_FALSE(fixture.primary());
    fixture.update();
    CHECK(fixture.primary());
}

// Each read of the store is charged for.
TEST_CASE("recorded log holders cause no further reads of the store") {
    registry_fixture fixture;
    fixture.connector.at("b").position = 11;
    fixture.connector.at("c").position = 11;
    fixture.update();
    CHECK(fixture.reads_in(milliseconds{800}) == 0);
}

// Guards against a promotion of the remaining replica without the commits that only the lost one
// had received.
TEST_CASE("a lost instance remains a log holder until another replica has caught up") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    fixture.replace("c", "d").position = 3;
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
    fixture.connector.at("b").position = 12;
    CHECK(fixture.update() == names{"a", "b", "d"});
}

// A successor that had received a part of the log only counted as having all of it.
TEST_CASE("the log of an ended process is bounded by what the primary held after its end") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    bool is_bounded = true;
    SUBCASE("the primary leads") {}
    SUBCASE("the primary may have lost its log") {
        fixture.restart("a");
        is_bounded = false;
    }
    SUBCASE("the primary does not answer") {
        fixture.connector.at("a").refuses_connections = true;
        is_bounded = false;
    }
    fixture.replace("c", "d").position = 3;
    if (!is_bounded && fixture.connector.at("a").position == 0) {
        fixture.connector.at("a").position = 11;
    }
    fixture.update();
    const log_index end{term_number{1}, log_position{12}};
    const std::map<log_holder, log_index> expected{{holder_of("c"), end}};
    CHECK(fixture.bounds() == (is_bounded ? expected : std::map<log_holder, log_index>{}));
    fixture.connector.at("a").refuses_connections = false;
    fixture.connector.at("a").position = 15;
    fixture.update();
    if (is_bounded) {
        CHECK(fixture.bounds() == expected);
    }
}

// Silence is no proof of an end: a replica that was cut off from the store and the hosts went on
// receiving, was the only one with the newest commits, and another replica was promoted.
TEST_CASE("an instance that is merely out of sight remains a log holder") {
    registry_fixture fixture;
    fixture.update();
    fixture.lose("c");
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.update() == names{"a", "b", "c"});
    }
    fixture.connector.at("c").refuses_connections = false;
    CHECK(fixture.update() == names{"a", "b", "c"});
    fixture.connector.at("c").refuses_connections = true;
    fixture.replace("c", "d");
    CHECK(fixture.update() == names{"a", "b", "d"});
}

// Each read of the store is charged for, and nothing can change before the directory does.
TEST_CASE("an instance without a successor causes no reads of the store") {
    registry_fixture fixture;
    fixture.update();
    fixture.lose("c");
    CHECK(fixture.reads_in(milliseconds{800}) == 0);
}

// The log that acknowledged commits is gone with the process.
TEST_CASE("an instance that has started again under its id is another log holder") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    std::int64_t since = 1;
    std::string address = "c.example:1";
    SUBCASE("at its address") { fixture.restart("c"); }
    SUBCASE("at another address") {
        address = "other.example:1";
        fixture.connector.at("c").entry.address = endpoint_address{address};
        fixture.restart("c");
    }
    SUBCASE("twice") {
        fixture.restart("c");
        fixture.update();
        fixture.restart("c");
        since = 2;
    }
    const log_holder present{instance_id{"c"}, endpoint_address{address}, since};
    const auto recorded = fixture.update_holders();
    CHECK(recorded.contains(holder_of("c")));
    CHECK(recorded.contains(present));
    fixture.connector.at("b").position = 12;
    CHECK(fixture.update_holders() == std::set{holder_of("a"), holder_of("b"), present});
}

// A process that ended before any host had recorded it may have acknowledged commits as well.
TEST_CASE("an instance that disappears before it is recorded is recorded") {
    registry_fixture fixture;
    fixture.connector.at("b").position = 10;
    SUBCASE("it is silent") {
        fixture.lose("c");
        CHECK(fixture.update_holders().contains(holder_of("c")));
    }
    SUBCASE("it has started again") {
        fixture.restart("c");
        CHECK(fixture.update_holders().contains(holder_of("c")));
        CHECK(fixture.update_holders().contains(holder_of("c", 1)));
    }
}

// A primary that crashed comes back with its log as a new process, until which it may have
// acknowledged commits that the replicas lack.
TEST_CASE("the earlier process of the primary remains a log holder until a replica has caught up") {
    registry_fixture fixture;
    fixture.update();
    fixture.restart("a").position = 12;
    fixture.connector.at("b").position = 11;
    fixture.connector.at("c").position = 11;
    CHECK(fixture.update_holders().contains(holder_of("a")));
    fixture.connector.at("c").position = 12;
    CHECK(fixture.update_holders() == std::set{holder_of("a", 1), holder_of("b"), holder_of("c")});
}

// A restore of the store brings entries of processes back that ended long ago.
TEST_CASE("the entry of an earlier process does not show that a later one has ended") {
    registry_fixture fixture;
    fixture.connector.at("c").entry.start_time = 5;
    fixture.list_instances();
    fixture.update();
    SUBCASE("of the same instance") {
        fixture.connector.at("c").entry.start_time = 4;
        fixture.list_instances();
    }
    SUBCASE("of another instance at its address") {
        fixture.replace("c", "d").entry.start_time = 4;
        fixture.list_instances();
    }
    CHECK(fixture.update_holders().contains(holder_of("c", 5)));
}

// A copy from which the store was restored may name fewer log holders than were recorded after it.
TEST_CASE("log holders that a restore of the store has lost are recorded again") {
    registry_fixture fixture;
    fixture.update();
    fixture.store.copy();
    fixture.connector.add("d", false).position = 12;
    fixture.list_instances();
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
    fixture.lose("d");
    fixture.store.restore();
    fixture.read_row(store_era{2});
    CHECK(fixture.known_holders().contains(holder_of("d")));
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
}

TEST_CASE("an unreadable row does not remove log holders") {
    registry_fixture fixture;
    fixture.update();
    fixture.lose("c");
    fixture.store.put(row_key, "not json");
    fixture.read_row(store_era{1});
    CHECK(fixture.known_holders().contains(holder_of("c")));
}

// With two synchronous replicas, a promotion may ignore two unknown logs, so each acknowledged
// commit must be in three of the recorded ones.
TEST_CASE("a lost instance remains a log holder until as many others as a commit takes caught up") {
    registry_fixture fixture;
    fixture.sync_replicas = 2;
    fixture.connector.add("d", false).position = 10;
    fixture.list_instances();
    fixture.update();
    fixture.replace("c", "e").position = 3;
    CHECK(fixture.update() == names{"a", "b", "c", "d", "e"});
    fixture.connector.at("d").position = 12;
    CHECK(fixture.update() == names{"a", "b", "d", "e"});
}

TEST_CASE("a lost instance remains a log holder while the primary does not answer") {
    registry_fixture fixture;
    fixture.update();
    fixture.replace("c", "d").position = 12;
    fixture.connector.at("a").refuses_connections = true;
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
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
// counts as a lost log, its group cannot be led by anything but the old primary. Its log may still
// be in transfer, so it has to be as long as the primary's.
TEST_CASE("an instance that has started again under another id replaces its old entry") {
    registry_fixture fixture;
    fixture.update();
    fixture.connector.at("b").position = 10;
    auto& successor = fixture.replace("c", "d");
    successor.position = 11;
    CHECK(fixture.update() == names{"a", "b", "c", "d"});
    successor.position = 12;
    CHECK(fixture.update() == names{"a", "b", "d"});
}

TEST_CASE("the log holders are not changed during a failover") {
    registry_fixture fixture;
    fixture.update();
    failover_record open{7, true, {}, {}};
    open.log_holders.insert(holder_of("a"));
    fixture.store.put(row_key, encode_failover_row(open, host_id{"host-2"}));
    CHECK(fixture.update() == names{"a"});
}
