#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "backend_group.hpp"
#include "instance_orders.hpp"

namespace masticgrade {

/// Reads the position of a group's primary at intervals while no statement does.
///
/// What a host acknowledged before it ended is bounded only by a position that was read after its
/// end. In a group without statements, one host that ended hours ago would otherwise keep a dead
/// primary from being replaced. Some live hosts do this, so that the loss of one leaves no gap.
///
/// Lives as long as the process. Thread safety: none; one executor.
class idle_position_prover {
public:
    struct environment {
        boost::asio::any_io_executor executor;
        instance_connector& connector;
        host_id self;
        /// The live hosts, including this one.
        std::function<std::vector<host_id>()> live_hosts;
    };
    /// A proof that is older is replaced.
    static constexpr seconds max_proof_age{5};

    /// Precondition: the services of the environment outlive this object.
    idle_position_prover(std::shared_ptr<backend_group> group, environment services);

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    /// Reads the position if that is due and up to this host.
    boost::asio::awaitable<void> check();

private:
    [[nodiscard]] bool is_due() const;

    std::shared_ptr<backend_group> group_;
    environment environment_;
    instance_orders orders_;
};

}  // namespace masticgrade
