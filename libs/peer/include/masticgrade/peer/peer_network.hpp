#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/peer/messages.hpp"

namespace masticgrade::peer {

/// Handles an incoming request or one-way message. A returned body is sent as the reply to a
/// request. May be called concurrently from several threads. Exceptions are logged and suppress the
/// reply.
using message_handler =
    std::function<boost::asio::awaitable<std::optional<message_body>>(envelope)>;

struct network_options {
    /// Listen address as "ip:port"; port 0 selects a free port.
    endpoint_address listen;
    host_id sender;
    milliseconds connect_timeout{1000};
    /// Initial reconnect backoff. It doubles after each failure up to `backoff_limit`; the delay is
    /// drawn uniformly from 50% to 100% of the backoff so that hosts do not reconnect in lockstep.
    milliseconds backoff_start{50};
    milliseconds backoff_limit{2000};
    /// TCP_USER_TIMEOUT: how long sent data may stay unacknowledged before the kernel closes the
    /// connection. Must detect a dead connection before the freshness window ends.
    milliseconds unacknowledged_limit{2000};
    /// Outgoing connections without traffic for this long are closed, since in a fleet of 550 hosts
    /// most peers are contacted rarely.
    milliseconds idle_limit{30000};
    /// Maximum number of queued frames per peer; further messages are rejected.
    std::size_t queue_limit = 256;
    /// Maximum number of queued bytes per peer; further messages are rejected.
    std::size_t queue_bytes_limit = std::size_t{4} << 20;
    /// Maximum number of concurrent handlers per incoming connection. Reading pauses at the limit.
    std::size_t handlers_per_connection = 64;
    std::uint64_t seed = 0;
};

/// Sender and recipient fields of an envelope, overriding the network's own identity.
struct message_identity {
    incarnation_number incarnation;
    fleet_version members_version;
    incarnation_number recipient_incarnation;
};

struct network_counters {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_refused = 0;
    std::uint64_t connections_rejected = 0;
};

/// Exchanges requests, replies and one-way messages with other proxies over TCP.
/// Opens at most one outgoing connection per peer; replies arrive on the connection that carried
/// the request. Thread-safe: every method may be called from any thread.
class peer_network {
public:
    /// Binds and listens immediately. Throws masticgrade::error if the address cannot be bound.
    peer_network(boost::asio::any_io_executor executor, network_options options,
                 message_handler handler);
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;
    /// Calls `stop`.
    ~peer_network();

    [[nodiscard]] endpoint_address local_address() const;

    /// Sets the incarnation and members version that subsequent envelopes carry.
    void set_identity(incarnation_number incarnation, fleet_version members_version);

    /// Sends a request and waits for its reply. Throws masticgrade::error if the deadline passes,
    /// the connection is lost or the send queue is full; the peer may still have handled the
    /// request.
    boost::asio::awaitable<envelope> request(endpoint_address peer, message_body body,
                                             time_point deadline);

    /// Queues a one-way message. The message is dropped if it cannot be sent by the deadline or the
    /// send queue is full.
    void send(const endpoint_address& peer, message_body body, time_point deadline,
              std::optional<message_identity> identity = std::nullopt);

    /// Queues a one-way message to several peers and encodes it once. As for `send`, it is dropped
    /// where it cannot be sent by the deadline.
    void send_to_all(const std::vector<endpoint_address>& peers, message_body body,
                     time_point deadline);

    [[nodiscard]] network_counters counters() const;

    /// Closes all connections and fails pending requests.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

}  // namespace masticgrade::peer
