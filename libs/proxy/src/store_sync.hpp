#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "fleet_state.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Polls the platform's table service for changed rows and applies them.
/// Thread safety: `run` is started once; `read_now` may be called from any coroutine on a strand.
class store_sync {
public:
    /// Called after a successful read with the time at which the read was sent and the store's
    /// fleet version.
    using read_observer = std::function<void(time_point sent_at, fleet_version version)>;

    store_sync(std::shared_ptr<table_service> store, std::shared_ptr<fleet_state> fleet,
               read_observer on_read);

    /// Polls until cancelled, with jitter so that hosts do not poll in step.
    boost::asio::awaitable<void> run();
    /// Reads once; returns false if the read failed or timed out.
    boost::asio::awaitable<bool> read_now(time_point deadline);

private:
    std::shared_ptr<table_service> store_;
    std::shared_ptr<fleet_state> fleet_;
    read_observer on_read_;
};

}  // namespace masticgrade
