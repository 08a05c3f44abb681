#pragma once

#include <fmt/format.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace masticgrade {

/// A string identifier whose type is distinct for each `Tag`.
/// Thread safety: same as std::string.
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }
    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    std::string value_;
};

/// An unsigned number whose type is distinct for each `Tag`.
/// Thread safety: same as std::uint64_t.
template <class Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) noexcept : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return value_; }
    [[nodiscard]] constexpr strong_number next() const noexcept {
        return strong_number{value_ + 1};
    }
    friend constexpr bool operator==(strong_number, strong_number) = default;
    friend constexpr auto operator<=>(strong_number, strong_number) = default;

private:
    std::uint64_t value_ = 0;
};

using customer_id = strong_id<struct customer_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using group_id = strong_id<struct group_tag>;
using host_id = strong_id<struct host_tag>;
using instance_id = strong_id<struct instance_tag>;
using key_id = strong_id<struct key_tag>;
using route_id = strong_id<struct route_tag>;
using transaction_id = strong_id<struct transaction_tag>;
using idempotency_key = strong_id<struct idempotency_tag>;
/// An "ip:port" pair, as it appears in the settings and the configuration.
using endpoint_address = strong_id<struct endpoint_tag>;

/// The term of a primary within a group; each promotion starts a higher one.
using term_number = strong_number<struct term_tag>;
/// The index of an entry in a group's replication log.
using log_position = strong_number<struct position_tag>;
/// A commit version of the platform's table service.
using fleet_version = strong_number<struct fleet_version_tag>;
/// Number of times that the platform's table service has been restored from a copy. Commits made
/// after the copy are lost, and their versions are assigned again, so versions of different eras
/// must not be compared. 0 if the service does not report it.
using store_era = strong_number<struct store_era_tag>;
/// Distinguishes successive process starts on the same host.
using incarnation_number = strong_number<struct incarnation_tag>;
using request_number = strong_number<struct request_tag>;

}  // namespace masticgrade

template <class Tag>
struct std::hash<masticgrade::strong_id<Tag>> {
    std::size_t operator()(const masticgrade::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<masticgrade::strong_number<Tag>> {
    std::size_t operator()(masticgrade::strong_number<Tag> number) const noexcept {
        return std::hash<std::uint64_t>{}(number.value());
    }
};

template <class Tag>
struct fmt::formatter<masticgrade::strong_id<Tag>> : fmt::formatter<std::string_view> {
    auto format(const masticgrade::strong_id<Tag>& id, fmt::format_context& context) const {
        return fmt::formatter<std::string_view>::format(id.str(), context);
    }
};

template <class Tag>
struct fmt::formatter<masticgrade::strong_number<Tag>> : fmt::formatter<std::uint64_t> {
    auto format(masticgrade::strong_number<Tag> number, fmt::format_context& context) const {
        return fmt::formatter<std::uint64_t>::format(number.value(), context);
    }
};
