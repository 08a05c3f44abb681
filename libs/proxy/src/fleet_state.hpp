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

/// The snapshot in force on this host and the runtime of each group in it.
/// Thread safety: all members may be called from any thread. Snapshots are immutable; a reader
/// keeps the one that it has taken.
class fleet_state {
public:
    using observer = std::function<void(const fleet_snapshot_ptr&)>;

    explicit fleet_state(boost::asio::any_io_executor executor);

    /// Called after each change of the snapshot, outside the lock.
    /// Precondition: called before `apply`.
    void set_observer(observer on_change) { on_change_ = std::move(on_change); }
    /// Precondition: called before `apply`. The observer is handed to every group.
    using reply_observer =
        std::function<void(const group_id&, const instance_id&, const database_reply&, time_point)>;
    void set_reply_observer(reply_observer on_reply) { on_reply_ = std::move(on_reply); }

    /// Applies rows that are newer than those in force and returns the version in force afterwards.
    fleet_version apply(const std::vector<table_row>& rows);
    /// The backend servers that the platform's list marks as leaving.
    void set_leaving(std::set<instance_id> leaving);

    /// Never null.
    [[nodiscard]] fleet_snapshot_ptr snapshot() const;
    /// Null for an unknown group.
    [[nodiscard]] std::shared_ptr<group_runtime> group(const group_id& group) const;
    [[nodiscard]] std::vector<std::shared_ptr<group_runtime>> groups() const;
    /// Drained and leaving instances together.
    [[nodiscard]] std::set<instance_id> draining() const;

private:
    void update_groups(const fleet_snapshot_ptr& snapshot);
    std::shared_ptr<group_runtime> make_group(const group_config& config, std::size_t members);

    boost::asio::any_io_executor executor_;
    observer on_change_;
    reply_observer on_reply_;

    /// Serialises changes, so that observers see them in order.
    std::mutex change_mutex_;
    bool applied_once_ = false;
    mutable std::mutex mutex_;
    fleet_snapshot_ptr snapshot_;
    std::map<group_id, std::shared_ptr<group_runtime>> groups_;
    std::set<instance_id> leaving_;
};

}  // namespace masticgrade
