#pragma once

#include <utility>

namespace masticgrade {

/// Runs a function at the end of a scope, also when an exception leaves it.
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
