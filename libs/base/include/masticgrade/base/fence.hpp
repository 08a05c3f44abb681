#pragma once

#include <cstdint>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// A fencing token below all those of the given era and above those of the earlier ones, of which a
/// restore of the store may have erased every record. Precondition: fewer than 2^32 tokens are used
/// in an era. Thread safety: reentrant.
constexpr std::uint64_t fence_base(store_era era) noexcept {
    constexpr unsigned bits_per_era = 32;
    const store_era first{1};
    return era > first ? (era.value() - first.value()) << bits_per_era : 0;
}

}  // namespace masticgrade
