#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "fleet_state.hpp"
#include "masticgrade/failover/drain_controller.hpp"
#include "masticgrade/failover/failure_detector.hpp"
#include "masticgrade/failover/promotion.hpp"
#include "masticgrade/failover/replication_stall_detector.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Monitors the groups assigned to this host and promotes a replica when a primary fails.
/// Thread safety: all members may be called from any thread; one lock guards the detectors and the
/// promotion attempts, and is not held during network calls.
class failover_runtime : public std::enable_shared_from_this<failover_runtime> {
public:
    struct dependencies {
        host_id self;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<table_service> store;
        /// Tells another monitor whether this host suspects a primary.
        std::function<void(const host_id&, const group_id&, term_number, bool)> send_suspicion;
        /// Applies the record just committed to the store and notifies the hosts that serve the
        /// group.
        std::function<boost::asio::awaitable<void>(group_id)> publish;
        std::function<bool(const host_id&)> is_reachable;
        std::function<void(const group_id&)> on_attempt_ended;
    };

    failover_runtime(boost::asio::any_io_executor executor, dependencies deps);

    void on_snapshot(const fleet_snapshot_ptr& snapshot);
    void on_answer(const group_id& group, const instance_progress& progress);
    void on_suspicion(const host_id& sender, const group_id& group, term_number term,
                      bool suspected);
    /// Moves the primary of a group to an instance that is not draining. Returns false if a
    /// promotion is already running or the group has no primary to move.
    bool start_planned_switchover(const start_switchover& action);
    /// The groups for which this host is the first reachable monitor.
    [[nodiscard]] std::set<group_id> coordinated_groups();
    void tick(time_point now);

private:
    struct monitored_group {
        failure_detector detector;
        replication_stall_detector replication = replication_stall_detector{};
        std::shared_ptr<promotion> attempt = {};
        /// The suspicion state that was last logged for the primary.
        bool suspected = false;
        bool stall_logged = false;
        instance_id primary = {};
        std::vector<instance_id> instances = {};
    };

    template <class Event>
    void with_detector(const group_id& group, Event event);
    void with_attempt(const group_id& group, const std::shared_ptr<promotion>& attempt,
                      const promotion_event& event);
    std::shared_ptr<promotion> begin_attempt(monitored_group& entry, const group_id& group,
                                             const group_record& observed, bool planned);
    static void exclude_stalled_primary(const monitored_group& entry, bool planned,
                                        promotion_request& request);
    void finish_completed_attempt(const group_id& group, const std::shared_ptr<promotion>& attempt);
    std::vector<host_id> monitors_of(const members& hosts, const group_id& group) const;

    void perform(const group_id& group, const detector_actions& actions);
    void execute(const group_id& group, const probe_instance& action);
    void execute(const group_id& group, const report_suspicion& action);
    /// Whether an answer of the instance is evidence that it works. Answers of a primary whose
    /// replication has stalled are not.
    static bool proves_liveness(const monitored_group& entry, const instance_id& instance,
                                time_point now);
    void check_replication(const group_id& group);
    void log_suspicion(const group_id& group, const report_suspicion& action);
    void execute(const group_id& group, const start_promotion& action);
    void execute(const group_id& group, const repair_follower& action);

    void perform(const group_id& group, const std::shared_ptr<promotion>& attempt,
                 const promotion_actions& actions);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     commit_record action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     read_record action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     query_state action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     seal_instance action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     promote_instance action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     follow_primary action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     promotion_succeeded action);
    boost::asio::awaitable<void> run(group_id group, std::shared_ptr<promotion> attempt,
                                     promotion_failed action);
    boost::asio::awaitable<void> probe(group_id group, probe_instance action);
    boost::asio::awaitable<void> repair(group_id group, repair_follower action);
    boost::asio::awaitable<std::optional<database_reply>> call(group_id group, instance_id instance,
                                                               database_request request);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    std::mutex mutex_;
    std::map<group_id, monitored_group> groups_;
};

}  // namespace masticgrade
