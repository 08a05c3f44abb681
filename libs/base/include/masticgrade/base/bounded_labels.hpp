#pragma once

#include <cstddef>
#include <mutex>
#include <set>
#include <string>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Names customers in metrics. Those beyond the first 1000 share the label "other", so that the
/// memory for metrics is bounded. Thread safety: any thread.
class bounded_labels {
public:
    [[nodiscard]] std::string label(const customer_id& customer);

private:
    std::mutex mutex_;
    std::set<customer_id> customers_;
};

}  // namespace masticgrade
