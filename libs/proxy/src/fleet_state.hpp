#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "group_runtime.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// The fleet snapshot in force on this host and the runtime state of each group in it.
/// Thread safety: all members may be called from any thread. Snapshots are immutable and remain
/// valid for as long as a caller holds one.
class fleet_state {
public:
    using snapshot_observer = std::function<void(const fleet_snapshot_ptr&)>;

    explicit fleet_state(boost::asio::any_io_executor executor);

    /// Sets the observer, which is called after each change of the snapshot, outside the lock.
    /// Precondition: called before `apply`.
    void set_snapshot_observer(snapshot_observer on_change) { on_change_ = std::move(on_change); }
    using reply_observer =
        std::function<void(const group_id&, const instance_id&, const database_reply&, time_point)>;
    /// Sets the observer of instance replies in every group. Precondition: called before `apply`.
    void set_reply_observer(reply_observer on_reply) { on_reply_ = std::move(on_reply); }

    /// Applies rows that are newer than those in force and returns the version in force afterwards.
    fleet_version apply(const std::vector<table_row>& rows);
    /// Sets the backend servers that the platform's host list marks as leaving.
    void set_leaving(std::set<instance_id> leaving);

    /// Never null.
    [[nodiscard]] fleet_snapshot_ptr snapshot() const;
    /// Null for an unknown group.
    [[nodiscard]] std::shared_ptr<group_runtime> group(const group_id& group) const;
    [[nodiscard]] std::vector<std::shared_ptr<group_runtime>> groups() const;
    /// All drained and leaving instances.
    [[nodiscard]] std::set<instance_id> draining() const;

private:
    void update_groups(const fleet_snapshot_ptr& snapshot);
    std::shared_ptr<group_runtime> make_group(const group_config& config, std::size_t members);

    boost::asio::any_io_executor executor_;
    snapshot_observer on_change_;
    reply_observer on_reply_;

    /// Serializes changes, so that observers see them in order.
    std::mutex change_mutex_;
    bool applied_once_ = false;
    mutable std::mutex mutex_;
    fleet_snapshot_ptr snapshot_;
    std::map<group_id, std::shared_ptr<group_runtime>> groups_;
    std::set<instance_id> leaving_;
};

}  // namespace masticgrade
