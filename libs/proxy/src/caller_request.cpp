#include "caller_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <vector>

#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace json = boost::json;

namespace {

constexpr std::int64_t default_deadline_ms = 5000;
constexpr std::int64_t max_deadline_ms = 60000;
constexpr std::int64_t max_staleness_ms = 86400000;
constexpr std::size_t max_idempotency_length = 128;
constexpr std::size_t max_name_length = 64;

[[noreturn]] void reject(const std::string& message) { throw error("parse", "", message); }

std::vector<std::string_view> split_path(std::string_view target) {
    std::vector<std::string_view> parts;
    target = target.substr(0, target.find('?'));
    while (!target.empty()) {
        target.remove_prefix(1);
        const auto slash = std::min(target.find('/'), target.size());
        parts.push_back(target.substr(0, slash));
        target.remove_prefix(slash);
    }
    return parts;
}

bool is_name(std::string_view text) { return !text.empty() && text.size() <= max_name_length; }

std::int64_t parse_number(std::string_view header, std::string_view text, std::int64_t lowest,
                          std::int64_t highest) {
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size() || number < lowest ||
        number > highest) {
        reject(fmt::format("{} is not a whole number from {} to {}", header, lowest, highest));
    }
    return number;
}

std::optional<std::string> parse_key(const http_headers& headers) {
    const auto value = headers.find("Authorization");
    if (!value) {
        return std::nullopt;
    }
    constexpr std::string_view scheme = "Bearer ";
    if (value->substr(0, scheme.size()) != scheme) {
        reject("Authorization does not use the Bearer scheme");
    }
    return std::string{value->substr(scheme.size())};
}

idempotency_key parse_idempotency(const http_headers& headers) {
    const auto value = headers.find("Idempotency-Key");
    if (!value) {
        return {};
    }
    const bool printable = std::all_of(value->begin(), value->end(),
                                       [](unsigned char c) { return c > 32 && c < 127; });
    if (value->empty() || value->size() > max_idempotency_length || !printable) {
        reject("Idempotency-Key is not 1 to 128 printable characters without spaces");
    }
    return idempotency_key{std::string{*value}};
}

read_freshness parse_freshness(const http_headers& headers) {
    constexpr std::string_view name = "Masticgrade-Max-Staleness-Ms";
    const auto value = headers.find(name);
    if (!value) {
        return strong_read{};
    }
    if (*value == "session") {
        return session_read{};
    }
    return bounded_staleness{milliseconds{parse_number(name, *value, 0, max_staleness_ms)}};
}

}  // namespace

std::optional<caller_operation> parse_operation(std::string_view method, std::string_view target) {
    const auto parts = split_path(target);
    if (method != "POST" || target.empty() || target.front() != '/' || parts.size() != 4 ||
        parts[0] != "v1" || !is_name(parts[2])) {
        return std::nullopt;
    }
    const std::string name{parts[2]};
    if (parts[1] == "routes" && parts[3] == "statements") {
        return run_statement{route_id{name}};
    }
    if (parts[1] == "routes" && parts[3] == "transactions") {
        return begin_transaction{route_id{name}};
    }
    if (parts[1] == "transactions" && parts[3] == "statements") {
        return run_in_transaction{transaction_id{name}};
    }
    if (parts[1] == "transactions" && parts[3] == "commit") {
        return commit_transaction{transaction_id{name}};
    }
    if (parts[1] == "transactions" && parts[3] == "rollback") {
        return rollback_transaction{transaction_id{name}};
    }
    return std::nullopt;
}

caller_context parse_context(const http_headers& headers, time_point now) {
    caller_context context;
    context.key = parse_key(headers);
    context.idempotency = parse_idempotency(headers);
    if (const auto token = headers.find("Masticgrade-Session")) {
        context.session_token = std::string{*token};
    }
    context.freshness = parse_freshness(headers);
    constexpr std::string_view deadline_header = "Masticgrade-Deadline-Ms";
    const auto deadline = headers.find(deadline_header);
    const auto deadline_ms = deadline ? parse_number(deadline_header, *deadline, 1, max_deadline_ms)
                                      : default_deadline_ms;
    context.deadline = now + milliseconds{deadline_ms};
    return context;
}

std::optional<outcome> refuse_without_configuration(fleet_version configuration) {
    if (configuration != fleet_version{}) {
        return std::nullopt;
    }
    return refuse(refusal::unavailable, "route", "this host has no configuration yet");
}

caller_statement parse_statement(std::string_view body) {
    json::value document;
    try {
        document = json::parse(body);
    } catch (const std::exception&) {
        reject("the body is not valid JSON");
    }
    auto* object = document.if_object();
    if (object == nullptr) {
        reject("the body is not a JSON object");
    }
    caller_statement parsed;
    for (auto& [name, value] : *object) {
        if (name == "kind") {
            const auto* kind = value.if_string();
            if (kind == nullptr || (*kind != "read" && *kind != "write")) {
                reject("\"kind\" is not \"read\" or \"write\"");
            }
            parsed.is_write = *kind == "write";
        } else if (name == "statement") {
            parsed.statement = std::move(value);
        } else {
            reject("the body has an unknown field");
        }
    }
    if (!object->contains("kind") || !object->contains("statement")) {
        reject("the body lacks \"kind\" or \"statement\"");
    }
    return parsed;
}

}  // namespace masticgrade
