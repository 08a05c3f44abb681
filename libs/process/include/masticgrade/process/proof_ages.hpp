#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Ages of one proof per member in the order of the members' ids; empty when there is none.
using proof_ages = std::vector<std::optional<duration>>;

/// Packs ages for the wire. Ages are rounded up, so that a proof never looks younger than it is;
/// ages above the largest value that fits become unknown. Thread safety: reentrant.
std::vector<std::uint8_t> pack_ages(const proof_ages& ages);

/// Reverses `pack_ages`. Returns nothing when the size does not fit `count` members.
std::optional<proof_ages> unpack_ages(std::span<const std::uint8_t> packed, std::size_t count);

}  // namespace masticgrade
