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

/// Handles one incoming request or one-way message; a returned body is sent back as the reply.
/// It may run on several threads at once. An exception from it is logged and yields no reply.
using message_handler =
    std::function<boost::asio::awaitable<std::optional<message_body>>(envelope)>;

struct network_options {
    /// The "ip:port" to listen on; port 0 takes a free one.
    endpoint_address listen;
    host_id sender;
    milliseconds connect_timeout{1000};
    /// Pause before the second attempt to connect; it doubles up to `backoff_limit`, and each pause
    /// is drawn from half of it to all of it, so that hosts do not reconnect in step.
    milliseconds backoff_start{50};
    milliseconds backoff_limit{2000};
    /// After this time without acknowledgement the kernel gives up on sent data, so that a silent
    /// connection is noticed before the freshness window ends.
    milliseconds unacknowledged_limit{2000};
    /// An outgoing connection without traffic for this time is closed; at 550 hosts most peers are
    /// used rarely.
    milliseconds idle_limit{30000};
    /// Queued frames per peer; a message above the limit is refused.
    std::size_t queue_limit = 256;
    /// Queued bytes per peer, for the same reason.
    std::size_t queue_bytes_limit = std::size_t{4} << 20;
    /// Requests of one connection that are handled at once; reading pauses above it.
    std::size_t handlers_per_connection = 64;
    std::uint64_t seed = 0;
};

/// What an envelope says about its sender and recipient, in place of the network's own identity.
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

/// Requests, replies and one-way messages between proxies over TCP.
/// Keeps one outgoing connection per peer in use; replies come back on the connection of their
/// request. Thread safety: every method may be called from any thread.
class peer_network {
public:
    /// Listens at once. Throws masticgrade::error when the address cannot be bound.
    peer_network(boost::asio::any_io_executor executor, network_options options,
                 message_handler handler);
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;
    /// Stops the network.
    ~peer_network();

    [[nodiscard]] endpoint_address local_address() const;

    /// Sets what outgoing envelopes say about this process from now on.
    void set_identity(incarnation_number incarnation, fleet_version members_version);

    /// Sends a request and waits for its reply. Throws masticgrade::error at the deadline, when the
    /// connection is lost or when the queue is full; the peer may still have handled the request.
    boost::asio::awaitable<envelope> request(endpoint_address peer, message_body body,
                                             time_point deadline);

    /// Queues a one-way message; it is dropped when it cannot be sent by the deadline or when the
    /// queue is full.
    void send(const endpoint_address& peer, message_body body, time_point deadline,
              std::optional<message_identity> identity = std::nullopt);

    [[nodiscard]] network_counters counters() const;

    /// Closes all connections; requests in progress fail.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

}  // namespace masticgrade::peer
