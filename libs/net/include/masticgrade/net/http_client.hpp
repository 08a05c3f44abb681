#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/http_message.hpp"

namespace masticgrade {

/// Thrown when a request received no usable response.
class request_error : public error {
public:
    request_error(const std::string& step, const std::string& peer, const std::string& reason,
                  bool may_have_run)
        : error(step, peer, reason), may_have_run_(may_have_run) {}

    /// False only if no byte of the request can have reached the peer.
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

private:
    bool may_have_run_;
};

/// An HTTP client connection that carries one request at a time.
/// Thread safety: `is_open` and `close` may be called from any thread; other calls must not
/// overlap. I/O runs on the connection's own strand, so callers may run on any executor.
class http_connection {
public:
    http_connection(const boost::asio::any_io_executor& executor, endpoint_address peer);
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    ~http_connection();

    /// Connects if not already connected. Throws request_error with may_have_run() == false.
    boost::asio::awaitable<void> connect(time_point deadline);

    /// Sends a request and waits for the response. Throws request_error on failure and closes the
    /// connection, so that a late response cannot be mistaken for the response to a later request.
    /// Precondition: connected, and no other request in progress.
    boost::asio::awaitable<http_response> send(http_request request, time_point deadline);

    [[nodiscard]] bool is_open() const noexcept;
    void close();
    [[nodiscard]] const endpoint_address& peer() const noexcept;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
