#include "masticgrade/net/http_client.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <cerrno>
#include <utility>

#include "masticgrade/base/invariant.hpp"
#include "masticgrade/net/endpoint.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;

/// Maximum time that sent data may stay unacknowledged before the kernel closes the connection;
/// detects network paths that fail silently.
constexpr milliseconds tcp_user_timeout{2000};

void set_socket_options(asio::ip::tcp::socket& socket) {
    socket.set_option(asio::ip::tcp::no_delay(true));
    const auto timeout = static_cast<unsigned>(tcp_user_timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

}  // namespace

class http_connection::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(const asio::any_io_executor& executor, endpoint_address peer)
        : strand_(asio::make_strand(executor)), stream_(strand_), peer_(std::move(peer)) {}

    asio::awaitable<void> connect(time_point deadline) {
        try {
            stream_.expires_at(deadline);
            co_await stream_.async_connect(parse_endpoint(peer_), asio::use_awaitable);
            set_socket_options(stream_.socket());
            open_ = true;
        } catch (const boost::system::system_error& failure) {
            close_socket();
            throw request_error("connect", peer_.str(), failure.code().message(), false);
        }
    }

    asio::awaitable<http_response> exchange(http_request request, time_point deadline) {
        if (is_stale()) {
            close_socket();
            throw request_error("send", peer_.str(), "the peer had closed the connection", false);
        }
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        message.set(http::field::host, peer_.str());
        message.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = std::move(request.body);
        message.prepare_payload();
        try {
            stream_.expires_at(deadline);
            co_await http::async_write(stream_, message, asio::use_awaitable);
            http::response_parser<http::string_body> parser;
            parser.body_limit(max_response_bytes);
            co_await http::async_read(stream_, buffer_, parser, asio::use_awaitable);
            if (buffer_.size() > 0) {
                close_socket();
                throw request_error("answer", peer_.str(), "more responses than requests", true);
            }
            auto response = parser.release();
            if (!response.keep_alive()) {
                close_socket();
            }
            co_return convert(response);
        } catch (const boost::system::system_error& failure) {
            close_socket();
            throw request_error("answer", peer_.str(), failure.code().message(), true);
        }
    }

    /// Returns whether the peer closed the idle connection or sent bytes outside of a response. No
    /// part of the next request has been sent at this point, so the caller can safely retry on
    /// another connection.
    bool is_stale() {
        char byte = 0;
        const auto received =
            ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void close_socket() {
        open_ = false;
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

    static http_response convert(http::response<http::string_body>& message) {
        http_response response;
        response.status = message.result_int();
        for (const auto& field : message) {
            response.headers.add(std::string{field.name_string()}, std::string{field.value()});
        }
        response.body = std::move(message.body());
        return response;
    }

    asio::strand<asio::any_io_executor> strand_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    endpoint_address peer_;
    std::atomic<bool> open_{false};
};

http_connection::http_connection(const asio::any_io_executor& executor, endpoint_address peer)
    : implementation_(std::make_shared<implementation>(executor, std::move(peer))) {}

http_connection::~http_connection() { close(); }

asio::awaitable<void> http_connection::connect(time_point deadline) {
    if (is_open()) {
        co_return;
    }
    // Keeps the implementation alive if this object is destroyed during the operation.
    auto self = implementation_;
    // Named object as a workaround for g++ 12, which copies a closure that is a temporary of a
    // co_await expression bytewise and then destroys its members twice.
    auto connect = [self, deadline]() -> asio::awaitable<void> {
        co_await self->connect(deadline);
    };
    co_await asio::co_spawn(self->strand_, std::move(connect), asio::use_awaitable);
}

asio::awaitable<http_response> http_connection::send(http_request request, time_point deadline) {
    auto self = implementation_;
    if (!self->open_) {
        throw request_error("send", self->peer_.str(), "not connected", false);
    }
    // Named object for the same reason as in connect().
    auto exchange = [self, deadline,
                     request = std::move(request)]() mutable -> asio::awaitable<http_response> {
        co_return co_await self->exchange(std::move(request), deadline);
    };
    co_return co_await asio::co_spawn(self->strand_, std::move(exchange), asio::use_awaitable);
}

bool http_connection::is_open() const noexcept { return implementation_->open_; }

void http_connection::close() {
    implementation_->open_ = false;
    asio::post(implementation_->strand_, [self = implementation_] { self->close_socket(); });
}

const endpoint_address& http_connection::peer() const noexcept { return implementation_->peer_; }

}  // namespace masticgrade
