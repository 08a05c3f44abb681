#include "masticgrade/gateway/replica_positions.hpp"

#include <algorithm>

namespace masticgrade {

void replica_positions::on_seen(const instance_id& replica, log_index position) {
    if (position.term < term_) {
        return;
    }
    auto& highest = positions_[replica];
    highest = std::max(highest, position);
    if (positions_.size() > max_replicas) {
        positions_.erase(std::min_element(
            positions_.begin(), positions_.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
}

void replica_positions::on_promotion(term_number term) {
    term_ = std::max(term_, term);
    std::erase_if(positions_, [&](const auto& item) { return item.second.term < term_; });
}

}  // namespace masticgrade
