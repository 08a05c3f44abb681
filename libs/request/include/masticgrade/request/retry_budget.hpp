#pragma once

#include <atomic>
#include <cstdint>

namespace masticgrade {

/// Limits retries to a fraction of the requests, so that retries cannot multiply the load on a
/// failing backend server.
/// Thread safety: all members may be called from any thread.
class retry_budget {
public:
    /// Records a request; `requests_per_retry` requests add one retry to the budget.
    void on_request() noexcept;
    /// Takes one retry from the budget. Returns false when the budget is empty.
    [[nodiscard]] bool try_retry() noexcept;

private:
    static constexpr std::int64_t requests_per_retry = 10;
    /// The largest number of retries that can accumulate for a sudden failure.
    static constexpr std::int64_t max_accumulated_retries = 100;

    std::atomic<std::int64_t> credits_{max_accumulated_retries * requests_per_retry};
};

}  // namespace masticgrade
