#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>

#include "fakes.hpp"
#include "group_failover.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const group_id group_name{"ledger"};
const std::string duty_row = "failover/ledger";

/// One host's failover of a group whose primary is gone, with instances "b" and "c".
class failover_run {
public:
    failover_run() {
        connector.add("b", false).position = 10;
        connector.add("c", false).position = 12;
        group_settings_.name = group_name;
        group_settings_.max_connections = 20;
        auto environment = make_local_environment(context_.get_executor(), connector, metrics_);
        group = std::make_shared<backend_group>(group_name, std::move(environment));
        update();
    }

    void update() { group->update(group_settings_, connector.entries(), {}); }

    /// Runs until `done`, or until 10 s have passed.
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
        const auto give_up = steady_clock::now() + seconds{10};
        while (!done() && steady_clock::now() < give_up) {
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

// Guards against a group that stays without a primary, and against the shorter log.
TEST_CASE("the replica with the longest log is promoted, once") {
    failover_run run;
    run.run_until([&] { return run.group->primary() == instance_id{"c"}; });
    REQUIRE(run.promotions.orders.size() == 1);
    CHECK(run.promotions.orders[0].target == instance_id{"c"});
    CHECK(run.promotions.orders[0].fence == 1);
    CHECK(run.connector.at("b").held == term_number{2});
    CHECK(run.store.value_of(duty_row).find("\"open\":false") != std::string::npos);
    CHECK(run.store.value_of(duty_row).find("\"target\":\"c\"") != std::string::npos);
}

// Guards against a second promotion after another host's has ended (lsf-lager scale-1, seed
// 676222117927), which lost a commit that the new primary had acknowledged.
TEST_CASE("a finished promotion of another host is taken over") {
    failover_run run;
    run.store.put(duty_row,
                  R"({"fence":4,"holder":"host-2","target":"b","open":false,"mark":"1"})");
    run.run_until([&] { return run.group->primary() == instance_id{"b"}; });
    CHECK(run.promotions.orders.empty());
    CHECK(run.connector.at("c").held == term_number{});
}

// Guards against two holders at the same time.
TEST_CASE("a promotion that another host has under way is left alone") {
    failover_run run;
    run.store.put(duty_row, R"({"fence":4,"holder":"host-2","target":"","open":true,"mark":"1"})");
    unsigned checks = 0;
    run.run_until([&] { return ++checks > 60; });
    CHECK(run.promotions.orders.empty());
    CHECK(run.connector.at("b").held == term_number{});
}

// Guards against a change that took effect although its answer was lost.
TEST_CASE("a lost answer of the store is resolved by reading the row") {
    failover_run run;
    run.store.answers_to_lose = 1;
    run.run_until([&] { return run.group->primary() == instance_id{"c"}; });
    REQUIRE(run.promotions.orders.size() == 1);
    CHECK(run.promotions.orders[0].fence == 1);
}

// Guards against a commit that only a replica received which started after the hold.
TEST_CASE("a replica that is listed after the hold is held too before anyone is promoted") {
    failover_run run;
    run.on_directory_read = [&] {
        if (run.promotions.orders.empty()) {
            run.connector.add("d", false).position = 14;
        }
    };
    run.run_until([&] { return run.group->primary().has_value(); });
    REQUIRE(run.promotions.orders.size() == 1);
    CHECK(run.promotions.orders[0].target == instance_id{"d"});
}

// Guards against an order that is given up while it may still be carried out.
TEST_CASE("an order without an answer is repeated with the same target and fence") {
    failover_run run;
    run.promotions.outcomes = {promotion_outcome::unknown};
    run.run_until([&] { return run.group->primary().has_value(); });
    REQUIRE(run.promotions.orders.size() == 2);
    CHECK(run.promotions.orders[0].target == run.promotions.orders[1].target);
    CHECK(run.promotions.orders[0].fence == run.promotions.orders[1].fence);
}

// Guards against replicas that stay held, and receive nothing, after a promotion that failed.
TEST_CASE("a refused promotion lets the replicas go") {
    failover_run run;
    run.promotions.outcomes = {promotion_outcome::refused};
    run.run_until([&] { return run.promotions.orders.size() == 2; });
    REQUIRE(run.promotions.orders.size() >= 2);
    CHECK(run.promotions.orders[1].fence > run.promotions.orders[0].fence);
}

// Guards against a promotion while a replica may go on acknowledging.
TEST_CASE("nothing is promoted while a listed replica does not answer") {
    failover_run run;
    run.connector.at("b").refuses_connections = true;
    unsigned checks = 0;
    run.run_until([&] { return ++checks > 100; });
    CHECK(run.promotions.orders.empty());
}
