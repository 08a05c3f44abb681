#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "options.hpp"

namespace masticgrade::load {

enum class operation_kind {
    write,
    booking,
    current_read,
    stale_read,
    session_read,
    roaming_read,
    transaction
};

struct planned_operation {
    duration at{};
    std::uint64_t id = 0;
    std::size_t customer = 0;
    operation_kind kind = operation_kind::current_read;
    bool keyed = true;
    /// Selects the proxy, the session and the row.
    std::uint64_t choice = 0;
};

/// Plans the whole run: exponential times between the operations of each customer, so that a slow
/// answer delays no later operation. The same options give the same plan.
std::vector<planned_operation> plan_operations(const load_options& options);

}  // namespace masticgrade::load
