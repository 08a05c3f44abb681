#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "fleet_state.hpp"
#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/peer/peer_network.hpp"

namespace masticgrade {

/// Exchanges messages with other proxies and dispatches incoming messages to their handlers.
/// Thread safety: all members may be called from any thread after the handlers are set.
class peer_service {
public:
    struct handlers {
        /// Called for every message, before the handler for its type.
        std::function<void(const peer::envelope&)> on_any_message;
        std::function<peer::exchange_reply(const peer::envelope&)> on_exchange;
        std::function<void(const host_id& sender, const peer::suspect_report&)> on_suspicion;
        std::function<void(const share_envelope&)> on_share_message;
    };

    /// Binds the listen address; throws masticgrade::error on failure.
    peer_service(boost::asio::any_io_executor executor, peer::network_options options,
                 std::shared_ptr<fleet_state> fleet, handlers callbacks);

    void set_identity(incarnation_number incarnation, fleet_version members_version);

    /// Throws masticgrade::error if there is no reply before the deadline.
    boost::asio::awaitable<peer::envelope> request(endpoint_address address,
                                                   peer::message_body body, time_point deadline);
    /// Sends a message to a member; it is dropped if the host is not a member or is unreachable.
    void send(const host_id& recipient, peer::message_body body,
              std::optional<peer::message_identity> identity = std::nullopt);
    void send_share_message(share_envelope envelope);

    /// Fetches the rows of a peer that are newer than this host's snapshot and applies them.
    /// Returns false if the peer did not answer in time.
    boost::asio::awaitable<bool> fetch_rows(endpoint_address address);

    [[nodiscard]] peer::network_counters counters() const { return network_.counters(); }
    void stop() { network_.stop(); }

private:
    boost::asio::awaitable<std::optional<peer::message_body>> handle(peer::envelope message);
    [[nodiscard]] peer::rows_reply rows_after(fleet_version version) const;

    std::shared_ptr<fleet_state> fleet_;
    handlers handlers_;
    host_id self_;
    peer::peer_network network_;
};

}  // namespace masticgrade
