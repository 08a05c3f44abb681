#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>

#include "fakes.hpp"
#include "group_failover.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const group_id group_name{"ledger"};
const std::string lock_row = "failover/ledger";

/// Runs the failover of a group without a primary and with the replicas "b" and "c" on one host.
class failover_fixture {
public:
    failover_fixture() {
        connector.add("b", false).position = 10;
        connector.add("c", false).position = 12;
        group_settings_.name = group_name;
        group_settings_.max_connections = 20;
        auto environment = make_local_environment(context_.get_executor(), connector, metrics_);
        group = std::make_shared<backend_group>(group_name, std::move(environment));
        update();
    }

    void update() { group->update(group_settings_, connector.entries(), {}); }

    /// Runs the failover until `done` returns true, for at most 10 s.
    void run_until(const std::function<bool()>& done) {
        failover_environment environment{context_.get_executor(),
                                         host_id{"host-1"},
                                         store,
                                         promotions,
                                         connector,
                                         metrics_,
                                         [] { return std::vector{host_id{"host-1"}}; },
                                         [this] { return read_directory(); }};
        auto failover = std::make_shared<group_failover>(group, std::move(environment));
        boost::asio::co_spawn(context_, failover->run(), boost::asio::detached);
        const auto deadline = steady_clock::now() + seconds{10};
        while (!done() && steady_clock::now() < deadline) {
            context_.run_for(milliseconds{20});
        }
        failover->stop();
        context_.run_for(milliseconds{200});
    }

    fake_connector connector;
    fake_store store;
    fake_promotions promotions{connector};
    std::shared_ptr<backend_group> group;
    std::function<void()> on_directory_read = [] {};

private:
    boost::asio::awaitable<void> read_directory() {
        on_directory_read();
        update();
        co_return;
    }

    boost::asio::io_context context_{1};
    gateway_metrics metrics_;
    group_settings group_settings_;
};

}  // namespace

// A group must not remain without a primary, nor be led by a replica with a shorter log.
TEST_CASE("the replica with the longest log is promoted exactly once") {
    failover_fixture fixture;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
    CHECK(fixture.promotions.orders[0].fence == 1);
    CHECK(fixture.connector.at("b").held == term_number{2});
    CHECK(fixture.store.value_of(lock_row).find("\"open\":false") != std::string::npos);
    CHECK(fixture.store.value_of(lock_row).find("\"target\":\"c\"") != std::string::npos);
}

// A second promotion after another host has finished one would lose the commits that the new
// primary has acknowledged in the meantime.
TEST_CASE("the result of another host's finished promotion is adopted") {
    failover_fixture fixture;
    fixture.store.put(lock_row,
                      R"({"fence":4,"holder":"host-2","target":"b","open":false,"mark":"1"})");
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"b"}; });
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.connector.at("c").held == term_number{});
}

// Two hosts must not run a failover of the same group at the same time.
TEST_CASE("nothing is promoted while another host holds the failover lock") {
    failover_fixture fixture;
    fixture.store.put(lock_row,
                      R"({"fence":4,"holder":"host-2","target":"","open":true,"mark":"1"})");
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 60; });
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.connector.at("b").held == term_number{});
}

// A commit to the store may take effect although its answer is lost.
TEST_CASE("a lost store answer is resolved by reading the lock row") {
    failover_fixture fixture;
    fixture.store.answers_to_lose = 1;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].fence == 1);
}

// A replica that starts after the hold can receive, and so acknowledge, commits that no other
// replica has.
TEST_CASE("a replica that registers after the hold is also held before a promotion") {
    failover_fixture fixture;
    fixture.on_directory_read = [&] {
        if (fixture.promotions.orders.empty()) {
            fixture.connector.add("d", false).position = 14;
        }
    };
    fixture.run_until([&] { return fixture.group->primary().has_value(); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// A promotion request whose answer is lost may still be carried out.
TEST_CASE("an unanswered promotion request is repeated with the same target and fence") {
    failover_fixture fixture;
    fixture.promotions.outcomes = {promotion_outcome::unknown};
    fixture.run_until([&] { return fixture.group->primary().has_value(); });
    REQUIRE(fixture.promotions.orders.size() == 2);
    CHECK(fixture.promotions.orders[0].target == fixture.promotions.orders[1].target);
    CHECK(fixture.promotions.orders[0].fence == fixture.promotions.orders[1].fence);
}

// After a failed promotion, replicas must not stay held, since held replicas receive no log
// entries.
TEST_CASE("replicas are released after a refused promotion") {
    failover_fixture fixture;
    fixture.promotions.outcomes = {promotion_outcome::refused};
    fixture.run_until([&] { return fixture.promotions.orders.size() == 2; });
    REQUIRE(fixture.promotions.orders.size() >= 2);
    CHECK(fixture.promotions.orders[1].fence > fixture.promotions.orders[0].fence);
}

// A replica that isn't held may continue to acknowledge commits of the old primary.
TEST_CASE("nothing is promoted while a registered replica does not answer") {
    failover_fixture fixture;
    fixture.connector.at("b").refuses_connections = true;
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 100; });
    CHECK(fixture.promotions.orders.empty());
}
