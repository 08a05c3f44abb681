#include "masticgrade/request/retry_budget.hpp"

namespace masticgrade {

void retry_budget::on_request() noexcept {
    auto credits = credits_.load();
    while (credits < max_accumulated_retries * requests_per_retry &&
           !credits_.compare_exchange_weak(credits, credits + 1)) {
    }
}

bool retry_budget::try_retry() noexcept {
    auto credits = credits_.load();
    while (credits >= requests_per_retry) {
        if (credits_.compare_exchange_weak(credits, credits - requests_per_retry)) {
            return true;
        }
    }
    return false;
}

}  // namespace masticgrade
