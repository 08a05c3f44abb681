#include "masticgrade/peer/peer_network.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

#include "masticgrade/base/error.hpp"
#include "masticgrade/peer/codec.hpp"

using namespace masticgrade;
using namespace masticgrade::peer;
namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr std::size_t thread_count = 3;

network_options options_for(const char* name,
                            endpoint_address listen = endpoint_address{"127.0.0.1:0"}) {
    network_options options;
    options.listen = std::move(listen);
    options.sender = host_id{name};
    options.backoff_start = milliseconds{10};
    options.backoff_limit = milliseconds{40};
    return options;
}

/// Replies to a rows request with the requested version; sends no reply for `fleet_version{0}`.
awaitable<std::optional<message_body>> reply_with_requested_version(envelope message) {
    const auto requested = std::get<rows_request>(message.body).modified_after;
    if (requested == fleet_version{}) {
        co_return std::nullopt;
    }
    co_return rows_reply{requested, true, {}};
}

time_point deadline_after(milliseconds delay) { return steady_clock::now() + delay; }

/// Requests rows and returns the version in the reply. Propagates exceptions of the request.
std::uint64_t request_version(asio::thread_pool& pool, peer_network& network,
                              const endpoint_address& peer, std::uint64_t version,
                              milliseconds limit = seconds{10}) {
    const auto reply = asio::co_spawn(pool,
                                      network.request(peer, rows_request{fleet_version{version}},
                                                      deadline_after(limit)),
                                      asio::use_future)
                           .get();
    return std::get<rows_reply>(reply.body).version.value();
}

std::uint16_t port_of(const endpoint_address& address) {
    return static_cast<std::uint16_t>(
        std::stoi(address.str().substr(address.str().rfind(':') + 1)));
}

}  // namespace

// Guards against replies that reach another request when many are in flight on several
// threads.
TEST_CASE("concurrent requests each get their own reply") {
    asio::thread_pool pool{thread_count};
    peer_network server{pool.get_executor(), options_for("server"), reply_with_requested_version};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    client.set_identity(incarnation_number{5}, fleet_version{6});
    std::vector<std::future<envelope>> replies;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        replies.push_back(
            asio::co_spawn(pool,
                           client.request(server.local_address(), rows_request{fleet_version{i}},
                                          deadline_after(seconds{10})),
                           asio::use_future));
    }
    for (std::uint64_t i = 1; i <= 200; ++i) {
        const auto reply = replies[i - 1].get();
        CHECK(reply.sender == host_id{"server"});
        CHECK(std::get<rows_reply>(reply.body).version.value() == i);
    }
    client.stop();
    server.stop();
    pool.join();
}

TEST_CASE("a request without a reply fails at its deadline and names the peer") {
    asio::thread_pool pool{thread_count};
    peer_network server{pool.get_executor(), options_for("server"), reply_with_requested_version};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    try {
        request_version(pool, client, server.local_address(), 0, milliseconds{50});
        FAIL("the request succeeded");
    } catch (const error& failure) {
        CHECK(failure.peer() == server.local_address().str());
    }
    client.stop();
    server.stop();
    pool.join();
}

// Guards against a faulty peer disrupting the connections of other peers.
TEST_CASE("an invalid length or payload closes only the connection it arrived on") {
    asio::thread_pool pool{thread_count};
    peer_network server{pool.get_executor(), options_for("server"), reply_with_requested_version};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    const auto address = server.local_address();
    CHECK(request_version(pool, client, address, 1) == 1);

    const std::vector<std::vector<std::uint8_t>> bad_streams{
        {255, 255, 255, 255}, {0, 0, 0, 0}, {4, 0, 0, 0, 1, 2, 3, 4}};
    for (const auto& bad : bad_streams) {
        asio::io_context context;
        tcp::socket socket{context};
        socket.connect({asio::ip::make_address("127.0.0.1"), port_of(address)});
        asio::write(socket, asio::buffer(bad));
        std::uint8_t byte = 0;
        boost::system::error_code closed;
        asio::read(socket, asio::buffer(&byte, 1), closed);
        CHECK(closed);
    }
    CHECK(server.counters().connections_rejected == bad_streams.size());
    CHECK(request_version(pool, client, address, 2) == 2);
    CHECK(client.counters().connections_rejected == 0);
    client.stop();
    server.stop();
    pool.join();
}

TEST_CASE("an invalid reply frame fails the request and the client reconnects") {
    asio::thread_pool pool{thread_count};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const endpoint_address address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    std::thread bad_server{[&] {
        auto socket = acceptor.accept();
        asio::write(socket, asio::buffer("\xff\xff\xff\xff", 4));
        boost::system::error_code ignored;
        std::uint8_t byte = 0;
        while (asio::read(socket, asio::buffer(&byte, 1), ignored) == 1) {
        }
        acceptor.close();
    }};
    CHECK_THROWS_AS(request_version(pool, client, address, 1), error);
    bad_server.join();
    CHECK(client.counters().connections_rejected == 1);

    peer_network restarted{pool.get_executor(), options_for("server", address),
                           reply_with_requested_version};
    CHECK(request_version(pool, client, address, 2) == 2);
    client.stop();
    restarted.stop();
    pool.join();
}

// Guards against a peer that stays unreachable after restarting on the same address.
TEST_CASE("requests succeed again after the peer restarts") {
    asio::thread_pool pool{thread_count};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    endpoint_address address;
    {
        asio::thread_pool server_pool{1};
        peer_network server{server_pool.get_executor(), options_for("server"),
                            reply_with_requested_version};
        address = server.local_address();
        CHECK(request_version(pool, client, address, 1) == 1);
        server.stop();
        server_pool.join();
    }
    CHECK_THROWS_AS(request_version(pool, client, address, 2, milliseconds{200}), error);
    peer_network server{pool.get_executor(), options_for("server", address),
                        reply_with_requested_version};
    // The first request may fail because of a connection attempt refused before the restart.
    std::uint64_t answer = 0;
    for (int attempt = 0; attempt < 50 && answer == 0; ++attempt) {
        try {
            answer = request_version(pool, client, address, 3);
        } catch (const error&) {
            std::this_thread::sleep_for(milliseconds{10});
        }
    }
    CHECK(answer == 3);
    client.stop();
    server.stop();
    pool.join();
}

// Guards against a send queue that grows without bound while a peer does not read.
TEST_CASE("messages above the send queue limit are rejected") {
    asio::thread_pool pool{thread_count};
    auto options = options_for("client");
    options.queue_bytes_limit = 4096;
    peer_network client{pool.get_executor(), options, reply_with_requested_version};
    asio::io_context context;
    tcp::acceptor silent{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const endpoint_address address{"127.0.0.1:" + std::to_string(silent.local_endpoint().port())};
    token_request large;
    large.customer = customer_id{std::string(3000, 'x')};
    for (int i = 0; i < 10000 && client.counters().messages_refused == 0; ++i) {
        client.send(address, large, deadline_after(seconds{60}));
    }
    for (int i = 0; i < 100 && client.counters().messages_refused == 0; ++i) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    CHECK(client.counters().messages_refused > 0);
    client.stop();
    pool.join();
}

// Guards against requests that hang after the network stops.
TEST_CASE("stopping the network fails pending requests") {
    asio::thread_pool pool{thread_count};
    peer_network server{pool.get_executor(), options_for("server"), reply_with_requested_version};
    peer_network client{pool.get_executor(), options_for("client"), reply_with_requested_version};
    auto reply = asio::co_spawn(
        pool, client.request(server.local_address(), rows_request{}, deadline_after(seconds{60})),
        asio::use_future);
    std::this_thread::sleep_for(milliseconds{20});
    client.stop();
    CHECK_THROWS_AS(reply.get(), error);
    CHECK_THROWS_AS(request_version(pool, client, server.local_address(), 1), error);
    server.stop();
    pool.join();
}

// Relays send the same reports to all hosts of their failure domain.
TEST_CASE("a message to several peers reaches each of them once") {
    asio::thread_pool pool{thread_count};
    std::atomic<int> received_by_first{0};
    std::atomic<int> received_by_second{0};
    const auto count_into = [](std::atomic<int>& counter) {
        return [&counter](envelope message) -> awaitable<std::optional<message_body>> {
            counter += std::holds_alternative<suspect_report>(message.body) ? 1 : 0;
            co_return std::nullopt;
        };
    };
    peer_network first{pool.get_executor(), options_for("first"), count_into(received_by_first)};
    peer_network second{pool.get_executor(), options_for("second"), count_into(received_by_second)};
    peer_network sender{pool.get_executor(), options_for("sender"), reply_with_requested_version};
    sender.send_to_all({first.local_address(), second.local_address()},
                       suspect_report{group_id{"g"}, term_number{1}, true},
                       deadline_after(seconds{10}));
    const auto deadline = deadline_after(seconds{10});
    while ((received_by_first == 0 || received_by_second == 0) && steady_clock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    sender.stop();
    first.stop();
    second.stop();
    pool.join();
    CHECK(received_by_first == 1);
    CHECK(received_by_second == 1);
}
