#include "masticgrade/process/quorum.hpp"

namespace masticgrade {

namespace {

constexpr std::size_t small_fleet_size = 20;

constexpr std::size_t majority_of(std::size_t count) { return count / 2 + 1; }

}  // namespace

std::size_t acceptance_quorum(std::size_t count) noexcept {
    if (count <= small_fleet_size) {
        return majority_of(count);
    }
    return (count * 3 + 4) / 5;
}

std::size_t removal_limit(std::size_t count) noexcept {
    std::size_t limit = 0;
    while (limit < count && majority_of(count) + acceptance_quorum(count - limit - 1) > count) {
        ++limit;
    }
    return limit;
}

}  // namespace masticgrade
