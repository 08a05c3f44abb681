#include "masticgrade/process/member_list_history.hpp"

#include <algorithm>
#include <utility>

namespace masticgrade {

namespace {

/// Peers are rarely further behind, because a list changes only after the previous one was
/// accepted.
constexpr std::size_t max_lists = 4;

}  // namespace

std::optional<std::size_t> member_index::position(const host_incarnation& host) const {
    const auto found = std::lower_bound(
        hosts.begin(), hosts.end(), host.id,
        [](const host_incarnation& listed, const host_id& id) { return listed.id < id; });
    if (found == hosts.end() || *found != host) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - hosts.begin());
}

void member_list_history::apply(const members& list) {
    member_index next{list.version, {}};
    next.hosts.reserve(list.hosts.size());
    for (const auto& [id, host] : list.hosts) {
        next.hosts.push_back({id, host.incarnation});
    }
    lists_.push_front(std::move(next));
    if (lists_.size() > max_lists) {
        lists_.pop_back();
    }
}

std::optional<std::vector<std::optional<std::size_t>>> member_list_history::positions(
    fleet_version version) const {
    const auto indexed = std::find_if(lists_.begin(), lists_.end(), [&](const member_index& list) {
        return list.version == version;
    });
    if (indexed == lists_.end()) {
        return std::nullopt;
    }
    std::vector<std::optional<std::size_t>> positions;
    positions.reserve(indexed->hosts.size());
    for (std::size_t i = 0; i < indexed->hosts.size(); ++i) {
        positions.push_back(indexed == lists_.begin() ? i : current().position(indexed->hosts[i]));
    }
    return positions;
}

}  // namespace masticgrade
