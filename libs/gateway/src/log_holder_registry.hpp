#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "backend_group.hpp"
#include "failover_row_store.hpp"
#include "instance_orders.hpp"

namespace masticgrade {

/// Keeps the log holders in a group's failover row up to date, so that a host that promotes knows
/// of every instance that may hold acknowledged commits, also if it has just started or the
/// instance has disappeared from the directory.
///
/// Instances are added when they are listed. One that is no longer listed is removed only when
/// another replica has received everything that the primary held after the disappearance, since
/// until then it may be the only replica with some acknowledged commits, or when it has started
/// again at its address, under another id.
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
    /// Whether all log holders that are not listed may be removed.
    boost::asio::awaitable<bool> are_dispensable(
        const std::map<instance_id, endpoint_address>& unlisted);
    /// Whether as many replicas as an acknowledged commit takes have received everything that the
    /// primary holds.
    boost::asio::awaitable<bool> is_replicated();

    std::shared_ptr<backend_group> group_;
    environment environment_;
    failover_row_store rows_;
    instance_orders orders_;
};

}  // namespace masticgrade
