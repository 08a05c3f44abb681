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

constexpr std::size_t threads = 3;

network_options options_for(const char* name,
                            endpoint_address listen = endpoint_address{"127.0.0.1:0"}) {
    network_options options;
    options.listen = std::move(listen);
    options.sender = host_id{name};
    options.backoff_start = milliseconds{10};
    options.backoff_limit = milliseconds{40};
    return options;
}

/// Answers a rows request with its version; ignores `fleet_version{0}`.
awaitable<std::optional<message_body>> answer_rows(envelope message) {
    const auto asked = std::get<rows_request>(message.body).modified_after;
    if (asked == fleet_version{}) {
        co_return std::nullopt;
    }
    co_return rows_reply{asked, true, {}};
}

time_point in(milliseconds delay) { return steady_clock::now() + delay; }

/// The version that the peer answers with. Throws what the request throws.
std::uint64_t ask(asio::thread_pool& pool, peer_network& network, const endpoint_address& peer,
                  std::uint64_t version, milliseconds limit = seconds{10}) {
    const auto reply =
        asio::co_spawn(pool, network.request(peer, rows_request{fleet_version{version}}, in(limit)),
                       asio::use_future)
            .get();
    return std::get<rows_reply>(reply.body).version.value();
}

std::uint16_t port_of(const endpoint_address& address) {
    return static_cast<std::uint16_t>(
        std::stoi(address.str().substr(address.str().rfind(':') + 1)));
}

}  // namespace

// Guards against replies that reach another request when many are in flight on several threads.
TEST_CASE("concurrent requests each get their own reply") {
    asio::thread_pool pool{threads};
    peer_network server{pool.get_executor(), options_for("server"), answer_rows};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
    client.set_identity(incarnation_number{5}, fleet_version{6});
    std::vector<std::future<envelope>> replies;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        replies.push_back(asio::co_spawn(
            pool,
            client.request(server.local_address(), rows_request{fleet_version{i}}, in(seconds{10})),
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
    asio::thread_pool pool{threads};
    peer_network server{pool.get_executor(), options_for("server"), answer_rows};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
    try {
        ask(pool, client, server.local_address(), 0, milliseconds{50});
        FAIL("the request succeeded");
    } catch (const error& failure) {
        CHECK(failure.peer() == server.local_address().str());
    }
    client.stop();
    server.stop();
    pool.join();
}

// Guards against one bad peer that disturbs the traffic of the others.
TEST_CASE("a wrong length or a failed verification closes only its own connection") {
    asio::thread_pool pool{threads};
    peer_network server{pool.get_executor(), options_for("server"), answer_rows};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
    const auto address = server.local_address();
    CHECK(ask(pool, client, address, 1) == 1);

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
    CHECK(ask(pool, client, address, 2) == 2);
    CHECK(client.counters().connections_rejected == 0);
    client.stop();
    server.stop();
    pool.join();
}

TEST_CASE("a peer that answers with an invalid frame fails the request and is tried again") {
    asio::thread_pool pool{threads};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
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
    CHECK_THROWS_AS(ask(pool, client, address, 1), error);
    bad_server.join();
    CHECK(client.counters().connections_rejected == 1);

    peer_network restarted{pool.get_executor(), options_for("server", address), answer_rows};
    CHECK(ask(pool, client, address, 2) == 2);
    client.stop();
    restarted.stop();
    pool.join();
}

// Guards against a peer that stays unreachable after it restarted on the same address.
TEST_CASE("requests work again after the peer was away") {
    asio::thread_pool pool{threads};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
    endpoint_address address;
    {
        asio::thread_pool server_pool{1};
        peer_network server{server_pool.get_executor(), options_for("server"), answer_rows};
        address = server.local_address();
        CHECK(ask(pool, client, address, 1) == 1);
        server.stop();
        server_pool.join();
    }
    CHECK_THROWS_AS(ask(pool, client, address, 2, milliseconds{200}), error);
    peer_network server{pool.get_executor(), options_for("server", address), answer_rows};
    // The first request may end with the refused connection of the time before.
    std::uint64_t answer = 0;
    for (int attempt = 0; attempt < 50 && answer == 0; ++attempt) {
        try {
            answer = ask(pool, client, address, 3);
        } catch (const error&) {
            std::this_thread::sleep_for(milliseconds{10});
        }
    }
    CHECK(answer == 3);
    client.stop();
    server.stop();
    pool.join();
}

// Guards against a queue that grows without bound while a peer does not read.
TEST_CASE("messages above the queue limit are refused") {
    asio::thread_pool pool{threads};
    auto options = options_for("client");
    options.queue_bytes_limit = 4096;
    peer_network client{pool.get_executor(), options, answer_rows};
    asio::io_context context;
    tcp::acceptor silent{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const endpoint_address address{"127.0.0.1:" + std::to_string(silent.local_endpoint().port())};
    token_request large;
    large.customer = customer_id{std::string(3000, 'x')};
    for (int i = 0; i < 10000 && client.counters().messages_refused == 0; ++i) {
        client.send(address, large, in(seconds{60}));
    }
    for (int i = 0; i < 100 && client.counters().messages_refused == 0; ++i) {
        std::this_thread::sleep_for(milliseconds{10});
    }
    CHECK(client.counters().messages_refused > 0);
    client.stop();
    pool.join();
}

// Guards against requests that hang when the network stops.
TEST_CASE("stopping fails the requests in progress") {
    asio::thread_pool pool{threads};
    peer_network server{pool.get_executor(), options_for("server"), answer_rows};
    peer_network client{pool.get_executor(), options_for("client"), answer_rows};
    auto reply = asio::co_spawn(
        pool, client.request(server.local_address(), rows_request{}, in(seconds{60})),
        asio::use_future);
    std::this_thread::sleep_for(milliseconds{20});
    client.stop();
    CHECK_THROWS_AS(reply.get(), error);
    CHECK_THROWS_AS(ask(pool, client, server.local_address(), 1), error);
    server.stop();
    pool.join();
}
