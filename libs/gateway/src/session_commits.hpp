#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// What a session's reads have to see of its own commits.
///
/// A position belongs to the log of one database group. A session's route may move between groups
/// and back, so the newest commit is kept for each group. Of the groups that were not written to
/// for longest, only the time of the last commit is kept, which a position proof from after it
/// covers.
///
/// Lives as long as its session. Thread safety: none. Does not read the clock.
class session_commits {
public:
    /// The groups of which the position is kept.
    static constexpr std::size_t max_groups = 8;

    /// A commit on the group was acknowledged before `now`, at `position` if that is known.
    void on_acknowledged(const group_id& group, std::optional<log_index> position, boot_time now);
    /// A log that contains the session's commits on the group ends at `position`. In a later term
    /// it replaces the position that is kept: a promotion may have rolled that back.
    void on_seen(const group_id& group, log_index position);

    /// The position that a read on the group has to see, if one is kept.
    [[nodiscard]] std::optional<log_index> position_on(const group_id& group) const;
    /// A read on the group has to see every commit that was acknowledged before this time; empty if
    /// the position is enough.
    [[nodiscard]] std::optional<boot_time> moment_on(const group_id& group) const;

private:
    struct group_commit {
        group_id group;
        std::optional<log_index> position;
        /// The time of the last commit.
        boot_time acknowledged_at;
        /// The time of the last commit, if its position is not known.
        std::optional<boot_time> unplaced_at;
    };
    [[nodiscard]] const group_commit* find(const group_id& group) const;

    /// The group that was written to last comes first.
    std::deque<group_commit> commits_;
    /// The last commit on a group that is not among `commits_` any more was acknowledged before.
    std::optional<boot_time> forgotten_at_;
};

}  // namespace masticgrade
