#include "masticgrade/process/proof_ages.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

// Four bits per member: 14 steps of 200 ms cover 2.8 s, just below the freshness window.
// Older proofs are of no use to a receiver, and another half byte per member would exceed the
// bandwidth budget of a large fleet (docs/measurements.md).
constexpr milliseconds age_unit{200};
constexpr std::uint8_t unknown_age = 15;
constexpr unsigned bits_per_age = 4;

std::uint8_t pack_age(const std::optional<duration>& age) {
    if (!age) {
        return unknown_age;
    }
    const auto units = (std::max(*age, duration{0}) + age_unit - duration{1}) / age_unit;
    return static_cast<std::uint8_t>(std::min<duration::rep>(units, unknown_age));
}

}  // namespace

std::vector<std::uint8_t> pack_ages(const proof_ages& ages) {
    std::vector<std::uint8_t> packed((ages.size() + 1) / 2);
    for (std::size_t i = 0; i < ages.size(); ++i) {
        packed[i / 2] |= static_cast<std::uint8_t>(pack_age(ages[i]) << (bits_per_age * (i % 2)));
    }
    return packed;
}

std::optional<proof_ages> unpack_ages(std::span<const std::uint8_t> packed, std::size_t count) {
    if (packed.size() != (count + 1) / 2) {
        return std::nullopt;
    }
    proof_ages ages(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto value = packed[i / 2] >> (bits_per_age * (i % 2)) & unknown_age;
        if (value != unknown_age) {
            ages[i] = value * age_unit;
        }
    }
    return ages;
}

}  // namespace masticgrade
