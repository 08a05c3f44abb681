#pragma once

#include <atomic>
#include <cstdint>

namespace masticgrade {

/// Limits retries to a share of the requests, so that a failing backend server does not receive a
/// multiple of its normal load.
/// Thread safety: all members may be called from any thread.
class retry_budget {
public:
    /// Counts a request; every tenth one pays for a retry.
    void on_request() noexcept;
    /// Takes one retry out of the budget; false when there is none.
    [[nodiscard]] bool try_retry() noexcept;

private:
    /// One retry costs as much as this many requests bring in.
    static constexpr std::int64_t requests_per_retry = 10;
    /// Retries that may be saved up for a sudden failure.
    static constexpr std::int64_t max_saved_retries = 100;

    std::atomic<std::int64_t> saved_{max_saved_retries * requests_per_retry};
};

}  // namespace masticgrade
