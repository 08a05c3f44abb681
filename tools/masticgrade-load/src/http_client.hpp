#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade::load {

struct http_call {
    std::string method = "POST";
    std::string target{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
};

struct http_answer {
    unsigned status = 0;
    std::string body;
};

/// A call without an answer.
class call_failure : public std::runtime_error {
public:
    call_failure(const std::string& reason, bool may_have_been_sent)
        : std::runtime_error(reason), may_have_been_sent_(may_have_been_sent) {}

    /// False when no connection could be made, so that the request cannot have run.
    [[nodiscard]] bool may_have_been_sent() const noexcept { return may_have_been_sent_; }

private:
    bool may_have_been_sent_;
};

/// Calls one server over keep-alive connections, as many as there are calls at once.
/// Thread safety: one thread.
class http_client {
public:
    /// Throws std::invalid_argument when the address is not "ip:port".
    explicit http_client(const std::string& address);
    http_client(http_client&&) noexcept;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// Throws call_failure when there is no whole answer within `timeout`.
    boost::asio::awaitable<http_answer> call(http_call request, duration timeout);
    void close_idle_connections();

private:
    struct connection;
    struct state;
    std::shared_ptr<state> state_;
};

/// Makes one call and runs it to its end.
http_answer call_once(const std::string& address, http_call request, duration timeout);

}  // namespace masticgrade::load
