#include "masticgrade/process/proof_ages.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

constexpr milliseconds unit{100};
constexpr std::uint8_t unknown = 255;

std::uint8_t pack_age(const std::optional<duration>& age) {
    if (!age) {
        return unknown;
    }
    const auto units = (std::max(*age, duration{0}) + unit - duration{1}) / unit;
    return static_cast<std::uint8_t>(std::min<duration::rep>(units, unknown));
}

}  // namespace

std::vector<std::uint8_t> pack_ages(const proof_ages& ages) {
    std::vector<std::uint8_t> packed;
    packed.reserve(ages.size());
    std::transform(ages.begin(), ages.end(), std::back_inserter(packed), pack_age);
    return packed;
}

std::optional<proof_ages> unpack_ages(std::span<const std::uint8_t> packed, std::size_t count) {
    if (packed.size() != count) {
        return std::nullopt;
    }
    proof_ages ages;
    ages.reserve(count);
    for (const auto value : packed) {
        ages.push_back(value == unknown ? std::nullopt : std::optional<duration>{value * unit});
    }
    return ages;
}

}  // namespace masticgrade
