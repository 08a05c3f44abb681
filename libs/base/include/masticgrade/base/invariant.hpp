#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace masticgrade {

/// The number of invariant violations since the process started.
/// Thread safety: safe to call from any thread.
std::uint64_t invariant_violations() noexcept;

namespace detail {
void report_invariant_violation(std::string_view name, std::string_view expression,
                                const std::string& state);
}

}  // namespace masticgrade

/// Checks an invariant in all build types. A violation is counted and logged with `state`, a
/// std::string expression that is evaluated only on violation. The process aborts if the
/// environment variable MASTICGRADE_ABORT_ON_VIOLATION is set.
#define MG_INVARIANT(name, expression, state)                                            \
    do {                                                                                 \
        if (!(expression)) {                                                             \
            ::masticgrade::detail::report_invariant_violation(name, #expression, state); \
        }                                                                                \
    } while (false)

/// Throws std::invalid_argument if a documented precondition does not hold.
#define MG_PRECONDITION(expression)                                           \
    do {                                                                      \
        if (!(expression)) {                                                  \
            ::masticgrade::detail::throw_precondition(#expression, __func__); \
        }                                                                     \
    } while (false)

namespace masticgrade::detail {
[[noreturn]] void throw_precondition(std::string_view expression, std::string_view function);
}
