#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>
#include <vector>

#include "history.hpp"
#include "http_client.hpp"
#include "options.hpp"

namespace masticgrade::load {

/// One request over the caller interface.
struct caller_request {
    std::string target{};
    /// The caller's key; empty on an open route.
    std::string key{};
    std::string idempotency_key{};
    std::string session{};
    /// Value of Masticgrade-Max-Staleness-Ms; empty for current data.
    std::string staleness{};
    boost::json::value body{};
};

struct caller_answer {
    outcome result = outcome::unknown;
    /// 0 when there was no answer.
    unsigned status = 0;
    boost::json::object body{};
    std::string session{};
    /// primary, replica, or empty when not stated.
    std::string served_by_role{};
};

/// Sends requests to the proxies of a fleet. Thread safety: one thread.
class caller {
public:
    caller(const std::vector<std::string>& proxies, milliseconds deadline);

    /// Sends to the proxy with that number. A lost connection is an answer with status 0; its
    /// result is not_run when no connection could be made.
    boost::asio::awaitable<caller_answer> send(std::size_t proxy, caller_request request);

    /// Asks every proxy whether it is ready, as the platform's load balancer does.
    boost::asio::awaitable<void> poll_readiness();
    /// The proxy for a choice among the ready ones, or among all when none is ready.
    [[nodiscard]] std::size_t choose(std::uint64_t choice) const;
    /// As choose, but another proxy than `previous` where there is one.
    [[nodiscard]] std::size_t choose_other(std::size_t previous, std::uint64_t choice) const;

private:
    struct proxy {
        http_client client;
        http_client probes;
        bool ready = true;
    };

    std::vector<proxy> proxies_;
    milliseconds deadline_;
};

/// The body of a request that runs one statement.
boost::json::value statement_body(const char* kind, const boost::json::value& statement);

}  // namespace masticgrade::load
