#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/http_message.hpp"

namespace masticgrade {

/// Identifies a client connection for its whole lifetime, so that the handler can associate state
/// with it.
struct http_peer {
    std::uint64_t connection = 0;
    std::string address;
};

struct http_server_limits {
    std::size_t max_body_bytes = 256UL * 1024;
    std::uint32_t max_header_bytes = 16U * 1024;
    std::size_t max_connections = 20000;
    /// Connections without a request for this long are closed.
    milliseconds idle_timeout{120000};
    /// Time allowed for receiving a request head, counted from its first byte, and then for its
    /// body. Without these limits a slow client could hold a file descriptor indefinitely.
    milliseconds head_timeout{10000};
    milliseconds body_timeout{10000};
};

/// HTTP server that handles the requests of each connection in order with a handler coroutine.
/// Thread-safe: all members may be called from any thread.
class http_server {
public:
    using handler =
        std::function<boost::asio::awaitable<http_response>(const http_peer&, http_request)>;

    /// Binds and listens immediately. Throws masticgrade::error if the address cannot be bound.
    http_server(const boost::asio::any_io_executor& executor, const endpoint_address& address,
                http_server_limits limits, handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    void start();
    /// Stops accepting connections. Each open connection closes after the response to its current
    /// or next request, or at `idle_deadline` if it is idle.
    void stop_gracefully(time_point idle_deadline);
    [[nodiscard]] std::size_t open_connections() const noexcept;
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
