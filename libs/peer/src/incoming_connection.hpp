#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "masticgrade/peer/peer_network.hpp"
#include "traffic_counters.hpp"

namespace masticgrade::peer {

/// Encodes a reply as a frame that carries the identity of this process.
using reply_encoder = std::function<std::vector<std::uint8_t>(request_number, message_body)>;

/// State shared by all accepted connections of a network.
struct incoming_context {
    network_options options;
    message_handler handler;
    reply_encoder encode_reply;
    std::shared_ptr<traffic_counters> counters;
};

/// An accepted connection: reads requests, runs the handler for each and writes the replies.
/// Runs on the strand of the accepted socket; `stop` may be called from any thread.
class incoming_connection : public std::enable_shared_from_this<incoming_connection> {
public:
    incoming_connection(boost::asio::ip::tcp::socket socket,
                        std::shared_ptr<const incoming_context> context);

    void start();
    void stop();

private:
    boost::asio::awaitable<void> read_requests();
    boost::asio::awaitable<void> wait_for_free_handler();
    boost::asio::awaitable<void> handle(envelope message);
    boost::asio::awaitable<void> write_replies();
    void queue_reply(std::vector<std::uint8_t> frame);
    void close();

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<const incoming_context> context_;
    boost::asio::steady_timer handler_finished_;
    std::deque<std::vector<std::uint8_t>> replies_;
    std::size_t active_handlers_ = 0;
    std::size_t queued_bytes_ = 0;
    bool writing_ = false;
};

}  // namespace masticgrade::peer
