#include "masticgrade/request/retry_budget.hpp"

namespace masticgrade {

void retry_budget::on_request() noexcept {
    auto saved = saved_.load();
    while (saved < max_saved_retries * requests_per_retry &&
           !saved_.compare_exchange_weak(saved, saved + 1)) {
    }
}

bool retry_budget::try_retry() noexcept {
    auto saved = saved_.load();
    while (saved >= requests_per_retry) {
        if (saved_.compare_exchange_weak(saved, saved - requests_per_retry)) {
            return true;
        }
    }
    return false;
}

}  // namespace masticgrade
