#include "masticgrade/gateway/promotion_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace masticgrade {

namespace {

/// Additional delay per rank, about the time of a hold request and a promotion call.
constexpr milliseconds delay_per_rank{350};
/// Higher ranks have the delay of this one. In a large fleet, a few hosts at a time are enough:
/// each attempt asks all instances of the group and reads the store.
constexpr std::size_t max_delayed_rank = 16;

std::uint64_t failover_weight(const group_id& group, const host_id& host) {
    const auto text = group.str() + '\n' + host.str();
    return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::optional<promotion_choice> choose_promotion_target(
    const std::vector<promotion_candidate>& replicas, term_number term) {
    const promotion_candidate* best = nullptr;
    for (const auto& item : replicas) {
        if (!item.held || item.held->held != term || item.held->is_primary) {
            return std::nullopt;
        }
        if (best == nullptr || std::tuple(item.held->received, !item.is_draining) >
                                   std::tuple(best->held->received, !best->is_draining)) {
            best = &item;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return promotion_choice{best->id, best->held->received};
}

std::string_view to_string(promotion_proof proof) noexcept {
    switch (proof) {
        case promotion_proof::not_needed:
            return "not_needed";
        case promotion_proof::primary_log:
            return "primary_log";
        case promotion_proof::acknowledgements:
            return "acknowledgements";
    }
    return "none";
}

std::string_view to_string(promotion_refusal refusal) noexcept {
    switch (refusal) {
        case promotion_refusal::replicas_not_held:
            return "replicas_not_held";
        case promotion_refusal::superseded:
            return "superseded";
        case promotion_refusal::primary_returned:
            return "primary_returned";
        case promotion_refusal::target_draining:
            return "target_draining";
        case promotion_refusal::acknowledged_commit_missing:
            return "acknowledged_commit_missing";
        case promotion_refusal::longer_log_unlisted:
            return "longer_log_unlisted";
        case promotion_refusal::replicated_commit_missing:
            return "replicated_commit_missing";
        case promotion_refusal::required_commit_missing:
            return "required_commit_missing";
        case promotion_refusal::acknowledgements_unknown:
            return "acknowledgements_unknown";
        case promotion_refusal::position_not_reached:
            return "position_not_reached";
    }
    return "none";
}

target_verdict assess_target(log_index position, const unheld_logs& others,
                             const census_result& acknowledged) {
    if (others.sync_replicas == 0) {
        return promotion_proof::not_needed;
    }
    if (acknowledged.beyond && position <= *acknowledged.beyond) {
        return promotion_refusal::acknowledged_commit_missing;
    }
    if (others.longest_unlisted && position < *others.longest_unlisted) {
        return promotion_refusal::longer_log_unlisted;
    }
    const bool has_primary_log = others.former_primary && position >= *others.former_primary;
    if (acknowledged.bound && position >= *acknowledged.bound) {
        return has_primary_log ? promotion_proof::primary_log : promotion_proof::acknowledgements;
    }
    if (acknowledged.replicated && position < *acknowledged.replicated) {
        return promotion_refusal::replicated_commit_missing;
    }
    if (acknowledged.required && position < *acknowledged.required) {
        return promotion_refusal::required_commit_missing;
    }
    if (has_primary_log) {
        return promotion_proof::primary_log;
    }
    return acknowledged.bound ? promotion_refusal::position_not_reached
                              : promotion_refusal::acknowledgements_unknown;
}

std::optional<log_index> least_target_position(const census_result& acknowledged) {
    auto result = std::max(acknowledged.replicated, acknowledged.required);
    if (acknowledged.beyond) {
        const log_index next{acknowledged.beyond->term,
                             log_position{acknowledged.beyond->number.value() + 1}};
        result = std::max(result, std::optional{next});
    }
    return acknowledged.bound && result ? std::min(result, acknowledged.bound) : result;
}

milliseconds takeover_delay(std::size_t rank) noexcept {
    return delay_per_rank * static_cast<milliseconds::rep>(std::min(rank, max_delayed_rank));
}

std::size_t failover_rank(const group_id& group, const host_id& self,
                          const std::vector<host_id>& hosts) {
    const auto own = failover_weight(group, self);
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(),
        [&](const auto& host) { return host != self && failover_weight(group, host) > own; }));
}

std::vector<host_id> highest_ranked_hosts(const group_id& group, std::vector<host_id> hosts,
                                          std::size_t count) {
    std::vector<std::pair<std::uint64_t, host_id>> weighted;
    weighted.reserve(hosts.size());
    for (auto& host : hosts) {
        const auto weight = failover_weight(group, host);
        weighted.emplace_back(weight, std::move(host));
    }
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(count, hosts.size()));
    std::partial_sort(weighted.begin(), end, weighted.end(), std::greater{});
    hosts.clear();
    for (auto item = weighted.begin(); item != end; ++item) {
        hosts.push_back(std::move(item->second));
    }
    return hosts;
}

}  // namespace masticgrade
