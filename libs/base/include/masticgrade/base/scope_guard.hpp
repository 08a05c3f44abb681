#pragma once

#include <utility>

namespace masticgrade {

/// Runs a function on scope exit, including exit by exception.
/// Precondition: the function does not throw. Thread safety: none.
template <class Function>
class scope_guard {
public:
    explicit scope_guard(Function function) : function_(std::move(function)) {}
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;
    ~scope_guard() { function_(); }

private:
    Function function_;
};

}  // namespace masticgrade
