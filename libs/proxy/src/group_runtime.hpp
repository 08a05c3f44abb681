#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <variant>
#include <vector>

#include "instance_link.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/failover/acknowledgement_tracker.hpp"
#include "masticgrade/failover/group_health.hpp"
#include "masticgrade/request/routing.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// This host's state of one group and its connections to the group's instances.
/// Thread safety: all members may be called from any thread; one lock guards the record, the health
/// and the acknowledgement state, and is never held while an instance_link's lock is acquired.
class group_runtime : public std::enable_shared_from_this<group_runtime> {
public:
    group_runtime(boost::asio::any_io_executor executor, group_config config,
                  std::size_t member_count);

    [[nodiscard]] const group_config& config() const noexcept { return config_; }
    [[nodiscard]] group_record record() const;
    [[nodiscard]] bool has_instance(const instance_id& instance) const {
        return links_.contains(instance);
    }
    /// Precondition: the group has the instance.
    [[nodiscard]] instance_link& link(const instance_id& instance) const;
    [[nodiscard]] std::vector<instance_view> views(time_point now) const;
    [[nodiscard]] std::vector<instance_health> health() const;

    /// Applies a record if it is newer than the known one, and resumes the coroutines that wait
    /// for it.
    void on_record(const group_record& record);
    void on_members(std::size_t member_count);
    /// Instances that are drained or leaving get no new work, unless one of them is the primary.
    void set_draining(std::set<instance_id> draining);
    /// Sets the fraction of its normal load that each instance may get as new work; see
    /// `drain_controller`.
    void set_new_work_shares(const std::map<instance_id, double>& shares);
    /// Updates the health of an instance from one of its replies and notifies the observer.
    void on_reply(const instance_id& instance, const database_reply& reply, time_point sent_at);
    /// Marks the group as in use, so that the state of its instances is polled for a few seconds.
    void mark_active(time_point now);
    void on_unreachable(const instance_id& instance, time_point sent_at);

    /// Called for every reply of an instance, outside the lock.
    using reply_observer =
        std::function<void(const instance_id&, const database_reply&, time_point)>;
    /// Precondition: called before the group is used by several threads.
    void set_reply_observer(reply_observer observer) { reply_observer_ = std::move(observer); }

    /// Calls an instance on its control connection and updates its health from the result.
    /// Throws request_error.
    boost::asio::awaitable<database_reply> control(instance_id instance, database_request request,
                                                   time_point deadline);

    /// Waits until the record has a version above `known`; returns false at the deadline.
    /// The coroutine must run on a strand.
    boost::asio::awaitable<bool> wait_for_newer_record(fleet_version known, time_point deadline);

    /// Waits until a majority holds the write, its term has ended, or the deadline passes.
    /// The coroutine must run on a strand.
    boost::asio::awaitable<write_outcome> confirm(term_number term, log_position position,
                                                  log_position primary_received,
                                                  time_point deadline);

    /// Must be called every few milliseconds.
    void tick(time_point now);

private:
    using pending_write = std::shared_ptr<async_result<write_outcome>>;
    using record_waiter = std::shared_ptr<async_result<bool>>;

    void apply_limits();
    void perform(const acknowledgement_actions& actions);
    void execute(const send_confirm& action);
    void execute(const write_resolved& action);
    boost::asio::awaitable<void> run_confirm(send_confirm action);
    boost::asio::awaitable<void> refresh_state(instance_id instance);
    template <class Event>
    void with_acknowledgement(Event event);

    boost::asio::any_io_executor executor_;
    group_config config_;
    std::map<instance_id, std::shared_ptr<instance_link>> links_;
    reply_observer reply_observer_;

    mutable std::mutex mutex_;
    group_record record_;
    group_health health_;
    acknowledgement_tracker acknowledgement_;
    std::set<instance_id> draining_;
    std::size_t member_count_ = 1;
    std::map<instance_id, double> new_work_shares_;
    write_number last_write_;
    std::map<write_number, pending_write> pending_writes_;
    std::vector<record_waiter> record_waiters_;
    std::set<instance_id> refreshing_;
    time_point active_until_;
};

}  // namespace masticgrade
