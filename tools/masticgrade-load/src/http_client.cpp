#include "http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <exception>
#include <optional>

namespace masticgrade::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct http_client::connection {
    explicit connection(asio::any_io_executor executor) : stream(std::move(executor)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

struct http_client::state {
    tcp::endpoint server;
    std::string host;
    std::vector<std::unique_ptr<connection>> idle;
};

namespace {

tcp::endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(text.substr(0, colon), failure);
        if (parsed.ec == std::errc{} && parsed.ptr == end && !failure) {
            return {address, port};
        }
    }
    throw std::invalid_argument("not an ip:port pair: " + text);
}

/// An idle connection that the server has closed meanwhile is readable.
bool closed_by_server(tcp::socket& socket) {
    boost::system::error_code failure;
    char byte = 0;
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure != asio::error::would_block;
}

}  // namespace

http_client::http_client(const std::string& address)
    : state_(std::make_shared<state>(state{parse_endpoint(address), address, {}})) {}
http_client::http_client(http_client&&) noexcept = default;
http_client::~http_client() = default;

void http_client::close_idle_connections() { state_->idle.clear(); }

asio::awaitable<http_answer> http_client::call(http_call request, duration timeout) {
    const auto shared = state_;
    const auto deadline = steady_clock::now() + timeout;
    std::unique_ptr<connection> used;
    while (!used && !shared->idle.empty()) {
        used = std::move(shared->idle.back());
        shared->idle.pop_back();
        if (closed_by_server(used->stream.socket())) {
            used.reset();
        }
    }
    bool sent = false;
    try {
        if (!used) {
            used = std::make_unique<connection>(co_await asio::this_coro::executor);
            used->stream.expires_at(deadline);
            co_await used->stream.async_connect(shared->server, asio::use_awaitable);
            used->stream.socket().set_option(tcp::no_delay(true));
        }
        http::request<http::string_body> message{http::string_to_verb(request.method),
                                                 request.target, 11};
        message.set(http::field::host, shared->host);
        for (const auto& [name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = std::move(request.body);
        message.prepare_payload();
        used->stream.expires_at(deadline);
        sent = true;
        co_await http::async_write(used->stream, message, asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(used->stream, used->buffer, parser, asio::use_awaitable);
        auto response = parser.release();
        if (response.keep_alive()) {
            used->stream.expires_never();
            shared->idle.push_back(std::move(used));
        }
        http_answer answer{response.result_int(), std::move(response.body())};
        co_return answer;
    } catch (const boost::system::system_error& failure) {
        throw call_failure(failure.code().message(), sent);
    }
}

http_answer call_once(const std::string& address, http_call request, duration timeout) {
    asio::io_context io(1);
    http_client client(address);
    std::optional<http_answer> answer;
    std::exception_ptr failure;
    asio::co_spawn(io, client.call(std::move(request), timeout),
                   [&](const std::exception_ptr& thrown, http_answer result) {
                       failure = thrown;
                       answer = std::move(result);
                   });
    io.run();
    client.close_idle_connections();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(*answer);
}

}  // namespace masticgrade::load
