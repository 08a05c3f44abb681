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

/// Maintains this host's membership of the fleet and tracks whether its snapshot is current.
/// Thread safety: all members may be called from any thread; one lock guards the membership and
/// freshness state machines and is not held during network calls.
class fleet_membership : public std::enable_shared_from_this<fleet_membership> {
public:
    struct dependencies {
        member self;
        std::shared_ptr<fleet_state> fleet;
        std::shared_ptr<table_service> store;
        /// Reads the store immediately, for example after a commit.
        std::function<boost::asio::awaitable<bool>(time_point deadline)> read_store;
        /// Returns the peer service, which is created after this object; must not be called before.
        std::function<peer_service&()> peers;
        std::function<void(host_incarnation)> on_identity_changed;
    };

    fleet_membership(boost::asio::any_io_executor executor, dependencies deps);

    // The clock is read under the lock, because the state machines need non-decreasing times.

    /// Why no new work may start now; empty if it may.
    [[nodiscard]] std::optional<std::string> refuse_work() const;
    /// The time until which this host may start new work, from what it knows now.
    [[nodiscard]] time_point fresh_until() const;
    [[nodiscard]] bool joined() const;
    [[nodiscard]] host_incarnation self() const;
    [[nodiscard]] bool is_reachable(const host_id& host) const;
    /// The last version known to be applied by each member.
    [[nodiscard]] std::map<host_id, fleet_version> member_versions() const;

    void on_store_read(time_point sent_at, fleet_version version);
    void on_snapshot(const fleet_snapshot_ptr& snapshot);
    void on_peer_message(const peer::envelope& message);
    peer::exchange_reply answer_exchange(const peer::envelope& message);
    void tick();

    /// Notifies the given members of this host's version, so that they fetch it at once.
    void announce(const std::vector<host_id>& recipients);

    /// Leaves the fleet. Completes when a member list without this host is in force here, or at the
    /// deadline; returns whether this host has left. The coroutine must run on a strand.
    boost::asio::awaitable<bool> leave(time_point deadline);

private:
    void execute(const send_exchange& action);
    void execute(const change_members& action);
    boost::asio::awaitable<void> exchange(send_exchange action);
    boost::asio::awaitable<void> change(change_members action);
    boost::asio::awaitable<void> catch_up(endpoint_address address);
    void start_catch_up(const endpoint_address& address);

    boost::asio::any_io_executor executor_;
    dependencies dependencies_;
    mutable std::mutex mutex_;
    freshness freshness_;
    membership membership_;
    host_incarnation identity_;
    std::map<host_id, fleet_version> versions_;
    std::atomic<bool> catching_up_{false};
};

}  // namespace masticgrade
