#include "masticgrade/net/http_server.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/net/endpoint.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr logger log{"http"};
constexpr milliseconds accept_retry_delay{20};
constexpr seconds write_timeout{10};

http_request convert(http::request<http::string_body>& message) {
    http_request request;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    for (const auto& field : message) {
        request.headers.add(std::string{field.name_string()}, std::string{field.value()});
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> convert(http_response response, bool keep_alive) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    message.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers) {
        message.set(name, value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

http_response make_error_response(unsigned status, std::string_view reason) {
    http_response response;
    response.status = status;
    response.body = fmt::format(
        R"({{"outcome":"not_run","step":"parse","reason":"{}","repeat_safe":true}})", reason);
    return response;
}

}  // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(const asio::any_io_executor& executor, const endpoint_address& address,
                   http_server_limits limits, handler on_request)
        : executor_(executor),
          acceptor_(asio::make_strand(executor)),
          limits_(limits),
          on_request_(std::move(on_request)) {
        const auto endpoint = parse_endpoint(address);
        try {
            acceptor_.open(endpoint.protocol());
            acceptor_.set_option(asio::socket_base::reuse_address(true));
            acceptor_.bind(endpoint);
            acceptor_.listen();
        } catch (const boost::system::system_error& failure) {
            throw error("listen", address.str(), failure.code().message());
        }
    }

    asio::awaitable<void> accept_loop() {
        std::uint64_t next_connection_id = 1;
        while (!stopping_) {
            boost::system::error_code failure;
            asio::ip::tcp::socket socket{asio::make_strand(executor_)};
            co_await acceptor_.async_accept(socket,
                                            asio::redirect_error(asio::use_awaitable, failure));
            if (stopping_) {
                break;
            }
            if (failure || connection_count_ >= limits_.max_connections) {
                // Waits for connections to close when file descriptors or the connection limit are
                // exhausted.
                asio::steady_timer timer{co_await asio::this_coro::executor, accept_retry_delay};
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
                continue;
            }
            ++connection_count_;
            const auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(std::move(socket), next_connection_id++),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, std::uint64_t number) {
        auto self = shared_from_this();
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        register_stream(number, stream);
        try {
            stream->socket().set_option(asio::ip::tcp::no_delay(true));
            http_peer peer{number, stream->socket().remote_endpoint().address().to_string()};
            co_await serve_requests(*stream, peer);
        } catch (const boost::system::system_error& failure) {
            log.debug("Connection ended connection={} reason=\"{}\".", number,
                      failure.code().message());
        } catch (const std::exception& failure) {
            log.error("Connection failed connection={} reason=\"{}\".", number, failure.what());
        }
        unregister_stream(number);
        boost::system::error_code ignored;
        stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        --connection_count_;
    }

    asio::awaitable<void> serve_requests(beast::tcp_stream& stream, const http_peer& peer) {
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(limits_.max_body_bytes);
            parser.header_limit(limits_.max_header_bytes);
            if (!co_await wait_for_first_byte(stream, buffer)) {
                co_return;
            }
            boost::system::error_code failure;
            stream.expires_after(limits_.head_timeout);
            co_await http::async_read_header(stream, buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, failure));
            if (!failure) {
                stream.expires_after(limits_.body_timeout);
                co_await http::async_read(stream, buffer, parser,
                                          asio::redirect_error(asio::use_awaitable, failure));
            }
            if (failure == beast::error::timeout) {
                log.warning(
                    "Request timed out before it was complete; closing the connection peer={}.",
                    peer.address);
            }
            if (failure) {
                co_await reply_to_parse_failure(stream, failure);
                co_return;
            }
            auto message = parser.release();
            const bool keep_alive = message.keep_alive();
            stream.expires_never();
            auto response = co_await on_request_(peer, convert(message));
            const bool keep_open = keep_alive && !stopping_;
            stream.expires_after(write_timeout);
            co_await http::async_write(stream, convert(std::move(response), keep_open),
                                       asio::use_awaitable);
            if (!keep_open) {
                co_return;
            }
        }
    }

    /// Waits for the first byte of the next request. Returns false if none arrives in time or the
    /// connection ends.
    asio::awaitable<bool> wait_for_first_byte(beast::tcp_stream& stream,
                                              beast::flat_buffer& buffer) {
        if (buffer.size() > 0) {
            co_return true;
        }
        stream.expires_at(stopping_ ? idle_deadline_.load()
                                    : steady_clock::now() + limits_.idle_timeout);
        constexpr std::size_t first_read_bytes = 4096;
        boost::system::error_code failure;
        const auto length = co_await stream.async_read_some(
            buffer.prepare(first_read_bytes), asio::redirect_error(asio::use_awaitable, failure));
        buffer.commit(length);
        co_return !failure && length > 0;
    }

    static asio::awaitable<void> reply_to_parse_failure(beast::tcp_stream& stream,
                                                        boost::system::error_code failure) {
        if (failure.category() != http::make_error_code(http::error::end_of_stream).category() ||
            failure == http::error::end_of_stream) {
            co_return;
        }
        const bool too_large =
            failure == http::error::body_limit || failure == http::error::header_limit;
        stream.expires_after(write_timeout);
        co_await http::async_write(
            stream, convert(make_error_response(too_large ? 413 : 400, failure.message()), false),
            asio::redirect_error(asio::use_awaitable, failure));
    }

    void register_stream(std::uint64_t number, const std::shared_ptr<beast::tcp_stream>& stream) {
        const std::scoped_lock lock{mutex_};
        streams_.emplace(number, stream);
    }

    void unregister_stream(std::uint64_t number) {
        const std::scoped_lock lock{mutex_};
        streams_.erase(number);
    }

    void stop(time_point idle_deadline) {
        idle_deadline_ = idle_deadline;
        stopping_ = true;
        asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->acceptor_.close(ignored);
        });
        asio::co_spawn(executor_, close_idle(shared_from_this()), asio::detached);
    }

    /// Closes connections that are still waiting for a request at the idle deadline.
    static asio::awaitable<void> close_idle(std::shared_ptr<implementation> self) {
        asio::steady_timer timer{co_await asio::this_coro::executor, self->idle_deadline_.load()};
        co_await timer.async_wait(asio::use_awaitable);
        const std::scoped_lock lock{self->mutex_};
        for (auto& [number, stream] : self->streams_) {
            asio::post(stream->get_executor(), [stream = stream] {
                // Shutting down the receiving side ends a pending read without affecting a response
                // that is being written.
                boost::system::error_code ignored;
                stream->socket().shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
            });
        }
    }

    asio::any_io_executor executor_;
    asio::ip::tcp::acceptor acceptor_;
    http_server_limits limits_;
    handler on_request_;
    std::atomic<bool> stopping_{false};
    std::atomic<time_point> idle_deadline_{time_point{}};
    std::atomic<std::size_t> connection_count_{0};
    std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<beast::tcp_stream>> streams_;
};

http_server::http_server(const asio::any_io_executor& executor, const endpoint_address& address,
                         http_server_limits limits, handler on_request)
    : implementation_(
          std::make_shared<implementation>(executor, address, limits, std::move(on_request))) {}

http_server::~http_server() = default;

void http_server::start() {
    asio::co_spawn(
        implementation_->acceptor_.get_executor(),
        [self = implementation_]() -> asio::awaitable<void> { co_await self->accept_loop(); },
        asio::detached);
}

void http_server::stop_gracefully(time_point idle_deadline) {
    implementation_->stop(idle_deadline);
}

std::size_t http_server::open_connections() const noexcept {
    return implementation_->connection_count_;
}

std::uint16_t http_server::port() const noexcept {
    boost::system::error_code ignored;
    return implementation_->acceptor_.local_endpoint(ignored).port();
}

}  // namespace masticgrade
