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

/// Exchanges messages with other proxies and hands incoming ones to the part that they are for.
/// Thread safety: all members may be called from any thread after the handlers are set.
class peer_service {
public:
    struct handlers {
        /// Any message; called before the handler of its kind.
        std::function<void(const peer::envelope&)> on_heard;
        std::function<peer::exchange_reply(const peer::envelope&)> on_exchange;
        std::function<void(const host_id& sender, const peer::suspect_report&)> on_suspicion;
        std::function<void(const share_envelope&)> on_share_message;
    };

    /// Binds the address; throws masticgrade::error when it cannot.
    peer_service(boost::asio::any_io_executor executor, peer::network_options options,
                 std::shared_ptr<fleet_state> fleet, handlers receivers);

    void set_identity(incarnation_number incarnation, fleet_version members_version);

    /// Throws masticgrade::error when there is no reply in time.
    boost::asio::awaitable<peer::envelope> request(endpoint_address address,
                                                   peer::message_body body, time_point deadline);
    /// Sends a message to a member; dropped when the host is not a member or cannot be reached.
    void send(const host_id& recipient, peer::message_body body,
              std::optional<peer::message_identity> identity = std::nullopt);
    void send_share_message(share_envelope envelope);

    /// Fetches the rows that a peer has beyond those in force here and applies them.
    /// Returns false when the peer did not answer in time.
    boost::asio::awaitable<bool> pull_rows(endpoint_address address);

    [[nodiscard]] peer::network_counters counters() const { return network_.counters(); }
    void stop() { network_.stop(); }

private:
    boost::asio::awaitable<std::optional<peer::message_body>> handle(peer::envelope message);
    [[nodiscard]] peer::rows_reply rows_after(fleet_version version) const;

    std::shared_ptr<fleet_state> fleet_;
    handlers receivers_;
    host_id self_;
    peer::peer_network network_;
};

}  // namespace masticgrade
