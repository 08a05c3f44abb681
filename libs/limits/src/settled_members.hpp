#pragma once

#include <map>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"
#include "owner_account.hpp"

namespace masticgrade {

/// Finds out which members list is settled: every member uses it or a newer one, for so long that
/// no process unaware of it can still be fresh. Such a process cannot prove itself current after
/// the last member learned of the list, because its majority would include an aware member.
class settled_members {
public:
    explicit settled_members(const share_settings& settings) : settings_(settings) {}

    void on_members(const members& hosts, const host_process& self, time_point now);
    /// Notes the list that a process uses. Returns whether the last member became aware by it.
    bool on_heard(const host_process& holder, fleet_version version, time_point now);

    [[nodiscard]] const member_processes& current() const noexcept { return current_; }
    /// The newest settled list; version 0 if there is none.
    [[nodiscard]] fleet_version settled(time_point now) const;
    /// The members not known to use the current list.
    [[nodiscard]] std::vector<host_process> unaware() const;

private:
    void note_if_all_aware(time_point now);

    const share_settings& settings_;
    member_processes current_;
    std::map<host_process, fleet_version> heard_;
    /// For each list that every member knows: when it is settled. Only the newest settled one and
    /// those to come are kept.
    std::map<fleet_version, time_point> settles_at_;
};

}  // namespace masticgrade
