#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "backend_group.hpp"
#include "failover_row_store.hpp"
#include "instance_orders.hpp"

namespace masticgrade {

/// Keeps the log holders and the primary in a group's failover row up to date, so that a host that
/// promotes knows which instances to ask, also if it has just started or they have disappeared from
/// the directory.
///
/// The log holders are processes: an instance that starts again is another one. Processes are added
/// when they are listed. One that is no longer listed is removed only if a listed instance shows
/// that it has ended, by taking its id or address, and after that as many listed replicas as an
/// acknowledged commit takes have received everything that the primary holds. A process that is
/// merely silent may still receive and acknowledge commits, so it remains for as long as it has no
/// successor.
///
/// Lives as long as the process. Thread safety: none; one executor.
class log_holder_registry {
public:
    struct environment {
        boost::asio::any_io_executor executor;
        table_service& store;
        instance_connector& connector;
        host_id self;
        /// The live hosts, including this one.
        std::function<std::vector<host_id>()> live_hosts;
    };
    /// Precondition: the services of the environment outlive this object.
    log_holder_registry(std::shared_ptr<backend_group> group, environment services);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    /// Brings the row up to date if it can be done now. Throws masticgrade::error if the store does
    /// not answer.
    boost::asio::awaitable<void> update();

private:
    /// Whether an update may change the row.
    [[nodiscard]] bool is_outdated() const;
    /// Whether the record names the listed process of the primary.
    [[nodiscard]] bool names_primary(const failover_record& record, store_era era) const;
    /// The log holders that are known to have ended.
    [[nodiscard]] std::set<log_holder> ended_among(const std::set<log_holder>& holders) const;
    struct replication {
        /// The end of the primary's log; absent if it does not lead.
        std::optional<log_index> primary = {};
        /// Whether as many of the listed replicas as an acknowledged commit takes have received
        /// everything up to there.
        bool is_complete = false;
    };
    boost::asio::awaitable<replication> read_replication(std::vector<instance_entry> listed);
    /// Adds the end of the primary's log as the bound of the ended processes without one, unless
    /// the primary may have lost its log in a restart.
    void add_bounds(failover_record& record, const std::set<log_holder>& ended,
                    const replication& found) const;
    void log_recorded(const failover_record& record) const;
    /// Logs the log holders that are not listed, if they or the reasons for keeping them have
    /// changed.
    void log_unlisted();
    [[nodiscard]] std::string_view state_of(const log_holder& holder) const;

    std::shared_ptr<backend_group> group_;
    environment environment_;
    failover_row_store rows_;
    instance_orders orders_;
    /// The log holders that `log_unlisted` has found last.
    std::map<log_holder, std::string_view> logged_states_;
};

}  // namespace masticgrade
