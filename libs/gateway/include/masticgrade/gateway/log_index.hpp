#pragma once

#include <fmt/format.h>

#include <compare>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Identifies an entry in a database group's log, ordered by term and then by number.
/// Thread safety: same as an integer.
struct log_index {
    term_number term;
    log_position number;

    friend constexpr bool operator==(const log_index&, const log_index&) = default;
    friend constexpr auto operator<=>(const log_index&, const log_index&) = default;
};

}  // namespace masticgrade

template <>
struct fmt::formatter<masticgrade::log_index> : fmt::formatter<std::string_view> {
    auto format(const masticgrade::log_index& index, fmt::format_context& context) const {
        return fmt::format_to(context.out(), "{}.{}", index.term, index.number);
    }
};
