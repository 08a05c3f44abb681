#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backend_group.hpp"
#include "masticgrade/gateway/promotion_choice.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Services that the process provides to a group's failover.
struct failover_environment {
    boost::asio::any_io_executor executor;
    host_id self;
    table_service& store;
    promotion_service& promotions;
    instance_connector& connector;
    gateway_metrics& metrics;
    /// The live hosts, including this one.
    std::function<std::vector<host_id>()> live_hosts;
    /// Refreshes the instance directory. Throws masticgrade::error.
    std::function<boost::asio::awaitable<void>()> read_directory;
};

/// Replaces a group's primary that is dead, shutting down or in an evacuated failure domain.
///
/// A lock row in the store allows one host at a time to do so; its fencing token increases with
/// each holder. The holder stops all replicas from receiving log entries, so that no further commit
/// is acknowledged, and promotes the replica with the longest log. If the outcome of a promotion
/// request is unknown, the request may still be carried out; the holder repeats it with the same
/// target and fencing token.
///
/// Lives as long as the process. Thread safety: none; one executor.
class group_failover : public std::enable_shared_from_this<group_failover> {
public:
    group_failover(std::shared_ptr<backend_group> group, failover_environment environment);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    /// Starts no further failover.
    void stop() { stopping_ = true; }
    [[nodiscard]] bool is_promoting() const { return promoting_; }

private:
    enum class failover_kind { none, planned, unplanned };
    /// The lock row of the group's failover.
    struct failover_lock {
        std::uint64_t fence = 0;
        host_id holder;
        /// The holder has not released the lock.
        bool open = false;
        /// The instance that the holder promoted; empty if it promoted none.
        instance_id target;
        fleet_version version;
    };

    [[nodiscard]] failover_kind required_failover(time_point now) const;
    boost::asio::awaitable<void> run_failover(failover_kind kind);
    boost::asio::awaitable<failover_lock> read_lock();
    boost::asio::awaitable<bool> acquire_lock();
    /// Adopts the result of a promotion that another holder has finished. Returns whether this
    /// changed the primary.
    bool adopt_result(const failover_lock& observed);
    boost::asio::awaitable<void> release_lock(instance_id target);
    /// Chooses the replica to promote, after ensuring that the current primary can't acknowledge
    /// further commits.
    boost::asio::awaitable<std::optional<promotion_choice>> prepare_target(failover_kind kind);
    boost::asio::awaitable<void> demote_primary();
    /// Queries all instances. Returns whether the known primary is alive.
    boost::asio::awaitable<bool> find_primary();
    boost::asio::awaitable<std::optional<promotion_choice>> hold_replicas(failover_kind kind);
    boost::asio::awaitable<void> release_replicas();
    /// Returns whether the target has become the primary.
    boost::asio::awaitable<bool> promote(promotion_choice choice);
    boost::asio::awaitable<bool> wait_until_primary(instance_id target);
    boost::asio::awaitable<std::optional<instance_status>> request_status(
        const instance_id& instance, const backend_request& request);
    boost::asio::awaitable<void> sleep(duration length);
    [[nodiscard]] std::string lock_key() const;
    [[nodiscard]] std::string encode(std::uint64_t fence, const instance_id& target,
                                     bool open) const;

    std::shared_ptr<backend_group> group_;
    failover_environment environment_;
    bool stopping_ = false;
    bool promoting_ = false;
    std::optional<time_point> required_since_;
    time_point retry_after_{};
    /// The lock as last acquired by this host.
    failover_lock lock_;
    /// The highest fence whose outcome this host knows.
    std::uint64_t known_fence_ = 0;
    /// Version of another holder's lock row, and since when it has been unchanged.
    std::optional<fleet_version> foreign_version_;
    time_point foreign_since_{};
    term_number hold_term_;
    std::vector<instance_id> held_replicas_;
};

}  // namespace masticgrade
