#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// The age of one proof per member, sorted by member id; empty for a member without a proof.
using proof_ages = std::vector<std::optional<duration>>;

/// Encodes ages for the wire. Ages are rounded up, so that a proof never appears younger than it
/// is; ages that exceed the largest encodable value become unknown. Thread safety: reentrant.
std::vector<std::uint8_t> pack_ages(const proof_ages& ages);

/// Decodes the result of `pack_ages`. Returns nothing when the size does not match `count` members.
std::optional<proof_ages> unpack_ages(std::span<const std::uint8_t> packed, std::size_t count);

}  // namespace masticgrade
