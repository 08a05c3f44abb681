#pragma once

#include <map>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"
#include "owner_account.hpp"

namespace masticgrade {

/// Determines which members list is settled: every member has used it or a newer one for so long
/// that no process with an older list can still consider itself current. Such a process cannot
/// prove that it is current after the last member has learned of the list, because any majority
/// includes a member that knows the list.
class settled_members {
public:
    explicit settled_members(const share_settings& settings) : settings_(settings) {}

    void on_members(const members& hosts, const host_process& self, time_point now);
    /// Records the list version that a process uses. Returns whether all members now use the
    /// current list and did not before.
    bool on_members_version(const host_process& holder, fleet_version version, time_point now);

    [[nodiscard]] const member_processes& current() const noexcept { return current_; }
    /// The newest settled list; version 0 if there is none.
    [[nodiscard]] fleet_version settled(time_point now) const;
    /// The members that are not known to use the current list.
    [[nodiscard]] std::vector<host_process> unaware_members() const;

private:
    void record_if_all_aware(time_point now);

    const share_settings& settings_;
    member_processes current_;
    std::map<host_process, fleet_version> known_versions_;
    /// The time at which each list known to all members is settled. Only the newest settled list
    /// and later ones are kept.
    std::map<fleet_version, time_point> settles_at_;
};

}  // namespace masticgrade
