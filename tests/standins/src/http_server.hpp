#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "fault_state.hpp"

namespace masticgrade::standins {

struct http_request {
    std::string method;
    std::string target;
    std::string body{};
};

struct http_response {
    unsigned status = 200;
    std::string body{};
    /// The change took effect, but the connection closes without an answer.
    bool lost = false;
    bool close_afterwards = false;
};

/// What one connection does with its requests, which arrive one at a time.
class http_session {
public:
    http_session() = default;
    http_session(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session& operator=(http_session&&) = delete;
    virtual ~http_session() = default;

    virtual boost::asio::awaitable<http_response> handle(http_request request) = 0;
};

struct http_server_options {
    duration setup_delay{0};
    /// Requests with this target come from another instance and are exempt from the faults
    /// "silent" and "slow", but not from "isolated".
    std::string instance_target{};
};

/// An HTTP/1.1 server that misbehaves as its faults say. Thread safety: one thread.
class http_server {
public:
    using session_factory = std::function<std::unique_ptr<http_session>()>;

    /// Precondition: `faults` outlives the server, and the server outlives the run of `io`.
    http_server(boost::asio::io_context& io, const std::string& address,
                http_server_options options, fault_state& faults, session_factory factory);

    [[nodiscard]] std::uint16_t port() const;
    /// Connections that are open now get no answer any more; with `take_effect` their requests
    /// still run.
    void silence_connections(bool take_effect);
    /// Enforces the faults on connections that are already open.
    void faults_changed();

private:
    enum class silence { none, unread, unanswered };
    struct connection;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> peer);
    boost::asio::awaitable<bool> serve_one(connection& peer, http_session& session);
    [[nodiscard]] bool cut_off(const connection& peer) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    http_server_options options_;
    fault_state& faults_;
    session_factory factory_;
    std::set<connection*> connections_;
};

/// Splits "ip:port"; throws std::invalid_argument when it is not of that form.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

}  // namespace masticgrade::standins
