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

/// What lives as long as one caller's connection; the handler may keep state in it.
struct http_peer {
    std::uint64_t connection = 0;
    std::string address;
};

struct http_server_limits {
    std::size_t max_body_bytes = 256UL * 1024;
    std::uint32_t max_header_bytes = 16U * 1024;
    std::size_t max_connections = 20000;
    /// A connection that sends nothing for this long is closed.
    milliseconds idle_timeout{120000};
    /// Time for the head of a request from its first byte on, and for its body after that; a caller
    /// that sends byte by byte would otherwise hold a descriptor for as long as it likes.
    milliseconds head_timeout{10000};
    milliseconds body_timeout{10000};
};

/// Accepts connections and answers each request in turn through a handler coroutine.
/// Thread safety: all members may be called from any thread.
class http_server {
public:
    using handler =
        std::function<boost::asio::awaitable<http_response>(const http_peer&, http_request)>;

    /// Binds and listens at once; throws masticgrade::error when the address cannot be bound.
    http_server(const boost::asio::any_io_executor& executor, const endpoint_address& address,
                http_server_limits limits, handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    void start();
    /// Stops accepting; every connection closes after the answer to its next or current request, or
    /// when it has been idle until `idle_deadline`.
    void stop_gracefully(time_point idle_deadline);
    [[nodiscard]] std::size_t open_connections() const noexcept;
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
