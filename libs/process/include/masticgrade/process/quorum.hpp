#pragma once

#include <cstddef>

namespace masticgrade {

/// The number of members, of `count` in all, that must have applied a version before it counts as
/// accepted. A majority in small fleets. Above 20 members it is 60%, because a larger quorum lets
/// one change remove a whole failure domain (see `removal_limit`).
std::size_t acceptance_quorum(std::size_t count) noexcept;

/// The largest number of members that one change may remove from a list of `count`: as many as
/// leave every majority of the old list and every acceptance quorum of the new list with a member
/// in common. At least 1 when there is a member.
std::size_t removal_limit(std::size_t count) noexcept;

}  // namespace masticgrade
