#pragma once

#include <cstddef>

namespace masticgrade {

/// Returns how many of `count` members must have applied a version before it counts as accepted: a
/// majority of up to 20 members and 60% of more. The larger quorum allows one change to remove a
/// whole failure domain (see `removal_limit`).
std::size_t acceptance_quorum(std::size_t count) noexcept;

/// Returns the largest number of members that one change may remove from a list of `count`, such
/// that every majority of the old list and every acceptance quorum of the new list still have a
/// member in common. At least 1 for a list that is not empty.
std::size_t removal_limit(std::size_t count) noexcept;

}  // namespace masticgrade
