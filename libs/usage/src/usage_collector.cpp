#include "masticgrade/usage/usage_collector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace masticgrade {

namespace {

constexpr seconds max_clock_difference{20};

std::uint64_t hash_of(const host_id& host) {
    return XXH3_64bits(host.str().data(), host.str().size());
}

}  // namespace

std::vector<host_id> choose_collectors(std::vector<collector_candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tuple{right.link_mbps, hash_of(right.host), right.host} <
               std::tuple{left.link_mbps, hash_of(left.host), left.host};
    });
    std::vector<host_id> result;
    std::set<failure_domain_id> domains;
    for (const auto& candidate : candidates) {
        if (result.size() < collector_count && domains.insert(candidate.failure_domain).second) {
            result.push_back(candidate.host);
        }
    }
    for (const auto& candidate : candidates) {
        if (result.size() < collector_count &&
            std::find(result.begin(), result.end(), candidate.host) == result.end()) {
            result.push_back(candidate.host);
        }
    }
    return result;
}

void usage_collector::on_update(const host_id& host, incarnation_number incarnation,
                                const usage_update& update, wall_time now) {
    const auto oldest = window_at(now - operation_counter::retention, window_length_);
    const auto newest = window_at(now + max_clock_difference, window_length_);
    windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
    for (const auto& item : update.windows) {
        if (item.window < oldest || item.window > newest) {
            continue;
        }
        auto& known = windows_[item.window][{host, incarnation}];
        for (const auto& [customer, count] : item.counts) {
            auto& total = known[customer];
            total = std::max(total, count);
        }
    }
    // What an earlier process of this collector acknowledged is missing here.
    if (update.base_revision != 0 && update.base_incarnation != self_) {
        return;
    }
    auto& taken_at = taken_at_[host];
    taken_at = std::max(taken_at, update.taken_at);
}

usage_counts usage_collector::totals(window_number window) const {
    usage_counts result;
    const auto found = windows_.find(window);
    if (found != windows_.end()) {
        for (const auto& [sender, counts] : found->second) {
            for (const auto& [customer, count] : counts) {
                result[customer] += count;
            }
        }
    }
    return result;
}

std::vector<host_id> usage_collector::missing(const std::vector<host_id>& hosts,
                                              wall_time moment) const {
    std::vector<host_id> result;
    for (const auto& host : hosts) {
        const auto found = taken_at_.find(host);
        if (found == taken_at_.end() || found->second < moment) {
            result.push_back(host);
        }
    }
    return result;
}

std::vector<host_id> usage_collector::heard_since(wall_time moment) const {
    std::vector<host_id> result;
    for (const auto& [host, taken_at] : taken_at_) {
        if (taken_at >= moment) {
            result.push_back(host);
        }
    }
    return result;
}

wall_time usage_collector::newest_taken_at(wall_time limit) const {
    wall_time result;
    for (const auto& [host, taken_at] : taken_at_) {
        result = std::max(result, std::min(taken_at, limit));
    }
    return result;
}

}  // namespace masticgrade
