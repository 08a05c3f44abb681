#include "masticgrade/base/bounded_labels.hpp"

namespace masticgrade {

namespace {

constexpr std::size_t max_customer_labels = 1000;

}  // namespace

std::string bounded_labels::label(const customer_id& customer) {
    const std::scoped_lock lock{mutex_};
    if (!customers_.contains(customer)) {
        if (customers_.size() >= max_customer_labels) {
            return "other";
        }
        customers_.insert(customer);
    }
    return customer.str();
}

}  // namespace masticgrade
