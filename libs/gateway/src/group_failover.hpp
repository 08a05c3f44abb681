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

/// What the failover of a group needs from the process.
struct failover_environment {
    boost::asio::any_io_executor executor;
    host_id self;
    table_service& store;
    promotion_service& promotions;
    instance_connector& connector;
    gateway_metrics& metrics;
    /// The hosts that are alive, this one counted.
    std::function<std::vector<host_id>()> live_hosts;
    /// Reads the instances' entries now. Throws masticgrade::error.
    std::function<boost::asio::awaitable<void>()> read_directory;
};

/// Replaces a group's primary when it is dead, leaving or in an evacuated failure domain.
///
/// A row of the store names the host that may do so, with a fence that rises with every holder. The
/// holder stops all replicas from receiving, so that nothing more can be acknowledged, promotes the
/// one with the longest log, and does not give up an order whose outcome it does not know: it
/// repeats the same order, since the first may still be carried out.
///
/// Lives as long as the process. Thread safety: none; one executor.
class group_failover : public std::enable_shared_from_this<group_failover> {
public:
    group_failover(std::shared_ptr<backend_group> group, failover_environment environment);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    /// Takes on nothing new from now on.
    void stop() { stopping_ = true; }
    [[nodiscard]] bool is_promoting() const { return promoting_; }

private:
    enum class need { none, planned, unplanned };
    /// The row that names the holder.
    struct duty {
        std::uint64_t fence = 0;
        host_id holder;
        bool open = false;
        /// The instance that the holder promoted; empty when it promoted none.
        instance_id target;
        fleet_version version;
    };

    [[nodiscard]] need current_need(time_point now) const;
    boost::asio::awaitable<void> attempt(need why);
    boost::asio::awaitable<duty> read_duty();
    boost::asio::awaitable<bool> take_duty();
    /// Takes the outcome of another holder's promotion over. Returns whether there was one.
    bool adopt(const duty& seen);
    boost::asio::awaitable<void> close_duty(instance_id target);
    /// Chooses the target such that the present primary can acknowledge nothing more.
    boost::asio::awaitable<std::optional<promotion_choice>> prepare_target(need why);
    boost::asio::awaitable<void> step_primary_down();
    /// Whether a live primary was found, so that nothing has to be done.
    boost::asio::awaitable<bool> find_primary();
    boost::asio::awaitable<std::optional<promotion_choice>> hold_replicas(need why);
    boost::asio::awaitable<void> release_replicas();
    /// Whether the target leads now.
    boost::asio::awaitable<bool> promote(promotion_choice choice);
    boost::asio::awaitable<bool> wait_until_leading(instance_id target);
    boost::asio::awaitable<std::optional<instance_status>> ask(const instance_id& instance,
                                                               const backend_request& request);
    boost::asio::awaitable<void> sleep(duration length);
    [[nodiscard]] std::string duty_key() const;
    [[nodiscard]] std::string encode(std::uint64_t fence, const instance_id& target,
                                     bool open) const;

    std::shared_ptr<backend_group> group_;
    failover_environment environment_;
    bool stopping_ = false;
    bool promoting_ = false;
    std::optional<time_point> needed_since_;
    time_point pause_until_{};
    duty held_;
    /// The highest fence whose outcome this host knows.
    std::uint64_t known_fence_ = 0;
    /// Another holder's row, and since when it has been seen unchanged.
    std::optional<fleet_version> foreign_version_;
    time_point foreign_since_{};
    term_number hold_term_;
    std::vector<instance_id> holding_;
};

}  // namespace masticgrade
