#include "masticgrade/net/http_server.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

using namespace masticgrade;
namespace asio = boost::asio;

namespace {

/// Echo server with short request timeouts, running on its own thread.
class short_timeout_server {
public:
    short_timeout_server() { server_.start(); }
    short_timeout_server(const short_timeout_server&) = delete;
    short_timeout_server& operator=(const short_timeout_server&) = delete;
    ~short_timeout_server() {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] asio::ip::tcp::socket connect() {
        asio::ip::tcp::socket socket{client_};
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), server_.port()});
        return socket;
    }

private:
    static http_server_limits limits() {
        http_server_limits result;
        result.head_timeout = milliseconds{200};
        result.body_timeout = milliseconds{200};
        return result;
    }

    asio::io_context client_;
    asio::io_context context_{1};
    http_server server_{
        context_.get_executor(), endpoint_address{"127.0.0.1:0"}, limits(),
        [](const http_peer&, http_request request) -> asio::awaitable<http_response> {
            http_response response;
            response.body = request.body;
            co_return response;
        }};
    asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
    std::thread thread_{[this] { context_.run(); }};
};

/// Sends the bytes one at a time. Returns true if the server closes the connection before all are
/// sent.
bool is_closed_while_sending(asio::ip::tcp::socket& socket, const std::string& bytes) {
    socket.non_blocking(true);
    for (const char byte : bytes) {
        boost::system::error_code write_error;
        asio::write(socket, asio::buffer(&byte, 1), write_error);
        std::this_thread::sleep_for(milliseconds{20});
        char response_byte = 0;
        boost::system::error_code read_error;
        socket.read_some(asio::buffer(&response_byte, 1), read_error);
        if (write_error || (read_error && read_error != asio::error::would_block)) {
            return true;
        }
    }
    return false;
}

}  // namespace

// Guards against slow clients that hold file descriptors for minutes with incomplete requests.
TEST_CASE("a connection whose request arrives byte by byte is closed") {
    short_timeout_server server;
    auto slow_head = server.connect();
    CHECK(is_closed_while_sending(slow_head, "GET / HTTP/1.1\r\nX: " + std::string(400, 'x')));
    auto slow_body = server.connect();
    asio::write(slow_body,
                asio::buffer(std::string{"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n"}));
    CHECK(is_closed_while_sending(slow_body, std::string(400, 'x')));
}

// Guards against request timeouts that also close connections that are idle between requests.
TEST_CASE("an idle connection is not closed by the request timeouts") {
    short_timeout_server server;
    auto socket = server.connect();
    for (int i = 0; i < 2; ++i) {
        std::this_thread::sleep_for(milliseconds{500});
        asio::write(socket,
                    asio::buffer(std::string{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok"}));
        std::string status_line(15, '\0');
        asio::read(socket, asio::buffer(status_line));
        CHECK(status_line == "HTTP/1.1 200 OK");
        std::string rest(4096, '\0');
        socket.read_some(asio::buffer(rest));
    }
}
