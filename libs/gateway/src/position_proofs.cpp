#include "masticgrade/gateway/position_proofs.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

/// Proofs closer together than this are merged.
constexpr milliseconds min_spacing{20};
/// Longer than the maximum staleness of routes in practice.
constexpr seconds retention{10};

}  // namespace

void position_proofs::add(boot_time sent_at, log_index position) {
    const auto place =
        std::upper_bound(proofs_.begin(), proofs_.end(), sent_at,
                         [](boot_time moment, const proof& item) { return moment < item.sent_at; });
    const bool is_last = place == proofs_.end();
    if (!is_last) {
        // A request sent later was answered first; its proof covers this time as well.
        return;
    }
    if (proofs_.size() >= 2 && sent_at - proofs_[proofs_.size() - 2].sent_at < min_spacing) {
        proofs_.back() = {sent_at, position};
    } else {
        proofs_.push_back({sent_at, position});
    }
    while (sent_at - proofs_.front().sent_at > retention) {
        proofs_.pop_front();
    }
}

std::optional<log_index> position_proofs::covering(boot_time moment) const {
    const auto found =
        std::lower_bound(proofs_.begin(), proofs_.end(), moment,
                         [](const proof& item, boot_time value) { return item.sent_at < value; });
    if (found == proofs_.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<boot_time> position_proofs::newest() const {
    if (proofs_.empty()) {
        return std::nullopt;
    }
    return proofs_.back().sent_at;
}

}  // namespace masticgrade
