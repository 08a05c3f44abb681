#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

#include "http_client.hpp"
#include "test_fleet.hpp"

using namespace masticgrade;
using namespace masticgrade::process_test;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

load::http_call scan_call() {
    const json::value statement{{"op", "get"}, {"key", "any"}};
    return {.target = "/v1/routes/bookings/statements",
            .headers = {{"Authorization", "Bearer " + test_fleet::clerk_key()}},
            .body = json::serialize(json::object{{"kind", "read"}, {"statement", statement}})};
}

struct revocation_result {
    unsigned first_status = 0;
    unsigned refused_status = 0;
    unsigned answers_after_refusal = 0;
};

/// Sends requests over one client, which keeps one connection open, until one is refused, and then
/// some more.
asio::awaitable<void> use_until_refused(load::http_client& client, const test_fleet& fleet,
                                        revocation_result& result) {
    constexpr int attempts = 200;
    constexpr int further_requests = 20;
    auto answer = co_await client.call(scan_call(), seconds{8});
    // The proxy may not know yet that the key was returned after the previous round.
    for (int i = 0; i < attempts && answer.status != 200; ++i) {
        pause(milliseconds{50});
        answer = co_await client.call(scan_call(), seconds{8});
    }
    result.first_status = answer.status;
    fleet.set_operations({}, {"clerk-key"});
    for (int i = 0; i < attempts && result.refused_status == 0; ++i) {
        answer = co_await client.call(scan_call(), seconds{8});
        if (answer.status != 200) {
            result.refused_status = answer.status;
        }
        pause(milliseconds{50});
    }
    for (int i = 0; i < further_requests; ++i) {
        answer = co_await client.call(scan_call(), seconds{8});
        result.answers_after_refusal += answer.status == 200 ? 1 : 0;
    }
}

revocation_result revoke_while_connected(const test_fleet& fleet, std::size_t proxy) {
    asio::io_context io(1);
    load::http_client client(fleet.proxy_address(proxy));
    revocation_result result;
    std::exception_ptr failure;
    asio::co_spawn(io, use_until_refused(client, fleet, result),
                   [&](const std::exception_ptr& thrown) { failure = thrown; });
    io.run();
    client.close_idle_connections();
    CHECK(!failure);
    return result;
}

}  // namespace

// Guards against a revoked key that goes on working on a connection that stays open.
TEST_CASE("key_revoked: a revoked key stops on an open connection") {
    test_fleet fleet({.scenario = "key_revoked"});
    for (std::size_t proxy = 0; proxy < 3; ++proxy) {
        const auto result = revoke_while_connected(fleet, proxy);
        CHECK(result.first_status == 200);
        CHECK(result.refused_status == 401);
        CHECK(result.answers_after_refusal == 0);
        CHECK(fleet.book(proxy, "after-revocation").status == 401);
        fleet.set_operations({}, {});
    }
    CHECK(fleet.times_taken("after-revocation") == 0);
}

// Guards against work that goes to a drained failure domain, requests that the drain interrupts,
// and a domain that does not come back.
TEST_CASE("domain_drained: a drained domain gets no work and comes back") {
    test_fleet fleet({.scenario = "domain_drained"});
    background_load load(fleet.load(seconds{12}));
    pause(seconds{1});
    fleet.set_operations({"domain-1"}, {});
    CHECK(fleet.wait_for_readiness(1, false));
    CHECK(fleet.ready(0));
    // The bound for the last new work in a drained domain.
    pause(seconds{3});
    const auto statements = fleet.instance_state(1).at("statements");
    pause(seconds{2});
    CHECK(fleet.instance_state(1).at("statements") == statements);
    fleet.set_operations({}, {});
    CHECK(fleet.wait_for_readiness(1, true));
    const auto result = load.finish();
    const auto& clerk = result.customers.at("clerk");
    CHECK(clerk.done == clerk.offered);
}

// Guards against connections to a drained instance that stay open after their last answer.
TEST_CASE("drained_connections: the connections to a drained instance close") {
    test_fleet fleet({.scenario = "drained_connections"});
    background_load load(fleet.load(seconds{8}));
    pause(seconds{1});
    CHECK(fleet.instance_state(1).at("connections").to_number<int>() > 0);
    fleet.set_operations({"domain-1"}, {});
    load.finish();
    constexpr int attempts = 60;
    int connections = -1;
    for (int i = 0; i < attempts && connections != 0; ++i) {
        connections = fleet.instance_state(1).at("connections").to_number<int>();
        pause(milliseconds{50});
    }
    CHECK(connections == 0);
}

// Guards against requests that a planned stop interrupts.
TEST_CASE("planned_stop: a proxy that is told to stop answers every request it has taken") {
    test_fleet fleet({.scenario = "planned_stop"});
    background_load load(fleet.load(seconds{8}));
    pause(seconds{2});
    fleet.proxy(1).signal(SIGTERM);
    CHECK(fleet.proxy(1).wait() == 0);
    const auto result = load.finish();
    CHECK(result.customers.at("clerk").unknown == 0);
    CHECK(result.customers.at("clerk").done > 0);
}

// Guards against work that goes to a backend server which the platform lists as leaving.
TEST_CASE("server_leaving: a leaving server that holds the primary is relieved and gets no work") {
    test_fleet fleet({.scenario = "server_leaving"});
    background_load load(fleet.load(seconds{12}));
    pause(seconds{1});
    fleet.set_server_leaving(0, true);
    // The host list is read every 2 s, and the primary is moved before the server is idle.
    pause(seconds{5});
    const auto statements = fleet.instance_state(0).at("statements");
    pause(seconds{2});
    CHECK(fleet.instance_state(0).at("statements") == statements);
    const auto result = load.finish();
    CHECK(result.customers.at("clerk").done > 0);
}
