#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "fleet_state.hpp"
#include "masticgrade/net/table_service.hpp"
#include "masticgrade/process/freshness.hpp"
#include "masticgrade/process/membership.hpp"
#include "peer_service.hpp"

namespace masticgrade {

/// Keeps this host among the members and proves that what it holds is current.
/// Thread safety: all members may be called from any thread; one lock guards the decision modules
/// and is not held during network calls.
class fleet_membership : public std::enable_shared_from_this<fleet_membership> {
public:
    struct environment {
        member self;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<table_service> store;
        /// Reads the store soon, after a change was committed.
        std::function<boost::asio::awaitable<bool>(time_point deadline)> read_store;
        /// The peers are created after this object; never called before that.
        std::function<peer_service&()> peers;
        std::function<void(host_incarnation)> on_identity;
    };

    fleet_membership(boost::asio::any_io_executor executor, environment surroundings);

    // Times are read under the lock, because the modules need times that do not go back.

    /// Why no new work may start now; empty when it may.
    [[nodiscard]] std::optional<std::string> refuse_work() const;
    /// Until when this host may start new work, as far as it knows now.
    [[nodiscard]] time_point fresh_until() const;
    [[nodiscard]] bool joined() const;
    [[nodiscard]] host_incarnation self() const;
    [[nodiscard]] bool is_reachable(const host_id& host) const;
    /// The version that each member is known to have applied.
    [[nodiscard]] std::map<host_id, fleet_version> member_versions() const;

    void on_store_read(time_point sent_at, fleet_version version);
    void on_snapshot(const fleet_snapshot_ptr& snapshot);
    void on_heard(const peer::envelope& message);
    peer::exchange_reply answer_exchange(const peer::envelope& message);
    void tick();

    /// Tells the given members that a newer version exists, so that they fetch it at once.
    void announce(const std::vector<host_id>& recipients);

    /// Leaves the members; completes when the list without this host is in force here, or at the
    /// deadline. The coroutine must run on a strand.
    boost::asio::awaitable<bool> leave(time_point deadline);

private:
    void act(const send_exchange& action);
    void act(const change_members& action);
    boost::asio::awaitable<void> exchange(send_exchange action);
    boost::asio::awaitable<void> change(change_members action);
    boost::asio::awaitable<void> catch_up(endpoint_address address);
    void start_catch_up(const endpoint_address& address);

    boost::asio::any_io_executor executor_;
    environment environment_;
    mutable std::mutex mutex_;
    freshness freshness_;
    membership membership_;
    host_incarnation identity_;
    std::map<host_id, fleet_version> versions_;
    std::atomic<bool> catching_up_{false};
};

}  // namespace masticgrade
