#pragma once

#include <cstddef>
#include <mutex>
#include <set>
#include <string>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Maps customers to metric label values. Customers after the first 1000 share the label "other",
/// which bounds the memory for metrics. Thread safety: safe to call from any thread.
class bounded_labels {
public:
    [[nodiscard]] std::string label(const customer_id& customer);

private:
    std::mutex mutex_;
    std::set<customer_id> customers_;
};

}  // namespace masticgrade
