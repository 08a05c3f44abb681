#include "session_commits.hpp"

#include <algorithm>
#include <utility>

namespace masticgrade {

void session_commits::on_acknowledged(const group_id& group, std::optional<log_index> position,
                                      boot_time now) {
    group_commit commit{group, std::nullopt, now, std::nullopt};
    const auto known = std::find_if(commits_.begin(), commits_.end(),
                                    [&](const auto& item) { return item.group == group; });
    if (known != commits_.end()) {
        commit = std::move(*known);
        commits_.erase(known);
    }
    commit.acknowledged_at = now;
    if (position) {
        commit.position = position;
        commit.unplaced_at.reset();
    } else {
        commit.unplaced_at = now;
    }
    commits_.push_front(std::move(commit));
    if (commits_.size() > max_groups) {
        forgotten_at_ = std::max(forgotten_at_, std::optional{commits_.back().acknowledged_at});
        commits_.pop_back();
    }
}

void session_commits::on_seen(const group_id& group, log_index position) {
    for (auto& commit : commits_) {
        if (commit.group == group && commit.position && position.term > commit.position->term) {
            commit.position = position;
        }
    }
}

const session_commits::group_commit* session_commits::find(const group_id& group) const {
    const auto found = std::find_if(commits_.begin(), commits_.end(),
                                    [&](const auto& item) { return item.group == group; });
    return found == commits_.end() ? nullptr : &*found;
}

std::optional<log_index> session_commits::position_on(const group_id& group) const {
    const auto* commit = find(group);
    return commit == nullptr ? std::nullopt : commit->position;
}

std::optional<boot_time> session_commits::moment_on(const group_id& group) const {
    const auto* commit = find(group);
    return commit == nullptr ? forgotten_at_ : commit->unplaced_at;
}

}  // namespace masticgrade
