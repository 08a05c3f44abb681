#include "masticgrade/process/proof_ages.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

// Four bits per member: 14 steps of 200 ms reach 2.8 s, just below the freshness window. Older
// proofs would not help a receiver, and half a byte more per member exceeds the bandwidth budget
// of a large fleet (docs/measurements.md).
constexpr milliseconds unit{200};
constexpr std::uint8_t unknown = 15;
constexpr unsigned bits = 4;

std::uint8_t pack_age(const std::optional<duration>& age) {
    if (!age) {
        return unknown;
    }
    const auto units = (std::max(*age, duration{0}) + unit - duration{1}) / unit;
    return static_cast<std::uint8_t>(std::min<duration::rep>(units, unknown));
}

}  // namespace

std::vector<std::uint8_t> pack_ages(const proof_ages& ages) {
    std::vector<std::uint8_t> packed((ages.size() + 1) / 2);
    for (std::size_t i = 0; i < ages.size(); ++i) {
        packed[i / 2] |= static_cast<std::uint8_t>(pack_age(ages[i]) << (bits * (i % 2)));
    }
    return packed;
}

std::optional<proof_ages> unpack_ages(std::span<const std::uint8_t> packed, std::size_t count) {
    if (packed.size() != (count + 1) / 2) {
        return std::nullopt;
    }
    proof_ages ages(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto value = packed[i / 2] >> (bits * (i % 2)) & unknown;
        if (value != unknown) {
            ages[i] = value * unit;
        }
    }
    return ages;
}

}  // namespace masticgrade
