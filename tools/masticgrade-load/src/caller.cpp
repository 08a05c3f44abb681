#include "caller.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace masticgrade::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// An answer later than the deadline by this much is a fault of the proxy.
constexpr auto grace = milliseconds{1000};
constexpr auto probe_timeout = milliseconds{500};

std::string text(const json::object& body, const char* name) {
    const auto* field = body.if_contains(name);
    return field != nullptr && field->is_string() ? std::string(field->get_string())
                                                  : std::string{};
}

outcome outcome_of(unsigned status, const json::object& body) {
    const auto stated = text(body, "outcome");
    if (stated == "done") {
        return outcome::done;
    }
    if (stated == "not_run") {
        return outcome::not_run;
    }
    if (stated == "outcome_unknown") {
        return outcome::unknown;
    }
    constexpr unsigned first_refusal = 400;
    constexpr unsigned unavailable = 503;
    const bool refused = status >= first_refusal && status < 500;
    return refused || status == unavailable ? outcome::not_run : outcome::unknown;
}

caller_answer parse_answer(const http_answer& answer) {
    caller_answer parsed;
    parsed.status = answer.status;
    boost::system::error_code failure;
    auto body = json::parse(answer.body, failure);
    if (!failure && body.is_object()) {
        parsed.body = std::move(body.get_object());
    }
    parsed.result = outcome_of(answer.status, parsed.body);
    parsed.session = text(parsed.body, "session");
    if (const auto* server = parsed.body.if_contains("served_by");
        server != nullptr && server->is_object()) {
        parsed.served_by_role = text(server->get_object(), "role");
    }
    return parsed;
}

caller_answer unanswered(const call_failure& failure) {
    return {.result = failure.may_have_been_sent() ? outcome::unknown : outcome::not_run};
}

// g++ 12 destroys an aggregate twice that is written inside a co_await expression, so requests
// are made by functions.
http_call readiness_call() { return {.method = "GET", .target = "/readyz"}; }

}  // namespace

json::value statement_body(const char* kind, const json::value& statement) {
    return {{"kind", kind}, {"statement", statement}};
}

caller::caller(const std::vector<std::string>& proxies, milliseconds deadline)
    : deadline_(deadline) {
    for (const auto& address : proxies) {
        proxies_.push_back({http_client(address), http_client(address)});
    }
}

asio::awaitable<caller_answer> caller::send(std::size_t proxy, caller_request request) {
    http_call call{.target = std::move(request.target)};
    const auto add = [&call](const char* name, std::string value) {
        if (!value.empty()) {
            call.headers.emplace_back(name, std::move(value));
        }
    };
    add("Authorization", request.key.empty() ? std::string{} : "Bearer " + request.key);
    add("Idempotency-Key", std::move(request.idempotency_key));
    add("Masticgrade-Session", std::move(request.session));
    add("Masticgrade-Max-Staleness-Ms", std::move(request.staleness));
    add("Masticgrade-Deadline-Ms", fmt::to_string(deadline_.count()));
    call.body = json::serialize(request.body);
    try {
        const auto answer =
            co_await proxies_[proxy].client.call(std::move(call), deadline_ + grace);
        co_return parse_answer(answer);
    } catch (const call_failure& failure) {
        co_return unanswered(failure);
    }
}

asio::awaitable<void> caller::poll_readiness() {
    for (auto& proxy : proxies_) {
        try {
            const auto answer = co_await proxy.probes.call(readiness_call(), probe_timeout);
            proxy.ready = answer.status == 200;
        } catch (const call_failure&) {
            proxy.ready = false;
        }
    }
}

std::size_t caller::choose(std::uint64_t choice) const {
    const auto ready = static_cast<std::uint64_t>(
        std::ranges::count_if(proxies_, [](const auto& proxy) { return proxy.ready; }));
    if (ready == 0) {
        return choice % proxies_.size();
    }
    auto skip = choice % ready;
    for (std::size_t i = 0;; ++i) {
        if (proxies_[i].ready && skip-- == 0) {
            return i;
        }
    }
}

std::size_t caller::choose_other(std::size_t previous, std::uint64_t choice) const {
    for (std::uint64_t i = 0; i < proxies_.size(); ++i) {
        if (const auto chosen = choose(choice + i); chosen != previous) {
            return chosen;
        }
    }
    return (previous + 1) % proxies_.size();
}

}  // namespace masticgrade::load
