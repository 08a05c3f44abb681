#include "masticgrade/net/http_client.hpp"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace masticgrade;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection to a server that sends prepared bytes for each request without a body.
class scripted_exchange {
public:
    explicit scripted_exchange(std::vector<std::string> replies) {
        asio::co_spawn(context_, serve(std::move(replies)), asio::detached);
    }

    /// The body of the response; nullopt if there is none.
    std::optional<std::string> send() {
        std::optional<std::string> body;
        bool ended = false;
        asio::co_spawn(context_, exchange(),
                       [&](const std::exception_ptr& failure, std::string result) {
                           ended = true;
                           if (!failure) {
                               body = std::move(result);
                           }
                       });
        context_.restart();
        while (!ended && context_.run_one() > 0) {
        }
        REQUIRE(ended);
        return body;
    }

    [[nodiscard]] bool is_open() const { return connection_.is_open(); }

private:
    asio::awaitable<std::string> exchange() {
        const auto deadline = steady_clock::now() + seconds{30};
        co_await connection_.connect(deadline);
        http_request request;
        request.method = "GET";
        request.target = "/";
        const auto result = co_await connection_.send(std::move(request), deadline);
        co_return result.body;
    }

    asio::awaitable<void> serve(std::vector<std::string> replies) {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        std::string buffer;
        for (const auto& reply : replies) {
            const auto length = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
            buffer.erase(0, length);
            co_await asio::async_write(socket, asio::buffer(reply), asio::use_awaitable);
        }
        co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                                        asio::use_awaitable);
    }

    asio::io_context context_{1};
    tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    http_connection connection_{
        context_.get_executor(),
        endpoint_address{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())}};
};

}  // namespace

TEST_CASE("requests on one connection receive their responses") {
    scripted_exchange server{{response("one"), response("two")}};
    CHECK(server.send() == "one");
    CHECK(server.send() == "two");
}

// The surplus response stayed in the buffer and was returned for the next request.
TEST_CASE("a response that is sent twice does not answer the next request") {
    scripted_exchange server{{response("one") + response("one"), response("two")}};
    CHECK_FALSE(server.send());
    CHECK_FALSE(server.is_open());
}

// The response to the earlier request was returned for the later one.
TEST_CASE("two responses to one request are not taken for its response") {
    scripted_exchange server{{response("one"), response("one") + response("two")}};
    REQUIRE(server.send() == "one");
    CHECK_FALSE(server.send());
    CHECK_FALSE(server.is_open());
}
