#include "masticgrade/base/invariant.hpp"

#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <stdexcept>

#include "masticgrade/base/log.hpp"

namespace masticgrade {

namespace {

constexpr logger log{"invariant"};
std::atomic<std::uint64_t> violations{0};

}  // namespace

std::uint64_t invariant_violations() noexcept { return violations.load(); }

namespace detail {

void report_invariant_violation(std::string_view name, std::string_view expression,
                                const std::string& state) {
    violations.fetch_add(1);
    log.error("Violated name={} expression=\"{}\" state=\"{}\".", name, expression, state);
    if (std::getenv("MASTICGRADE_ABORT_ON_VIOLATION") != nullptr) {
        std::abort();
    }
}

void throw_precondition(std::string_view expression, std::string_view function) {
    throw std::invalid_argument(fmt::format("{}: precondition {} violated", function, expression));
}

}  // namespace detail

}  // namespace masticgrade
