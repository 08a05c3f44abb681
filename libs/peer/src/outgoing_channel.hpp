#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "masticgrade/peer/codec.hpp"
#include "masticgrade/peer/peer_network.hpp"
#include "traffic_counters.hpp"

namespace masticgrade::peer {

/// The outgoing connection to one peer, with its send queue and the requests awaiting replies.
/// The constructor, `request`, `post_one_way` and `stop` may be called from any thread; all other
/// members run on the channel's strand.
class outgoing_channel : public std::enable_shared_from_this<outgoing_channel> {
public:
    outgoing_channel(const boost::asio::any_io_executor& executor, endpoint_address peer,
                     const network_options& options, std::shared_ptr<traffic_counters> counters,
                     std::uint64_t seed);

    boost::asio::awaitable<envelope> request(request_number id, std::vector<std::uint8_t> frame,
                                             time_point deadline);
    void post_one_way(std::vector<std::uint8_t> frame, time_point deadline);
    void stop();

private:
    struct queued_frame {
        std::vector<std::uint8_t> bytes;
        time_point deadline;
    };
    struct pending_request {
        explicit pending_request(const boost::asio::any_io_executor& executor) : timer(executor) {}

        boost::asio::steady_timer timer;
        std::optional<envelope> reply;
        std::string failure;
    };
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<envelope> request_on_strand(request_number id,
                                                       std::vector<std::uint8_t> frame,
                                                       time_point deadline);
    void enqueue(std::vector<std::uint8_t> frame, time_point deadline);
    void ensure_running();
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> wait_before_reconnect();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> write_queue(socket_ptr socket);
    boost::asio::awaitable<void> read_replies(socket_ptr socket);
    void handle_reply(envelope message);
    void drop_expired();
    void disconnect(const socket_ptr& socket, const std::string& reason);
    void fail_requests(const std::string& reason);
    void increase_backoff();

    boost::asio::any_io_executor strand_;
    endpoint_address peer_;
    const network_options options_;
    std::shared_ptr<traffic_counters> counters_;
    std::mt19937_64 random_;

    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_ = 0;
    std::map<request_number, std::shared_ptr<pending_request>> pending_requests_;
    socket_ptr socket_;
    /// Wakes the idle writer and delays reconnect attempts; cancelled to interrupt either wait.
    boost::asio::steady_timer wake_timer_;
    milliseconds backoff_{0};
    time_point reconnect_at_{};
    bool running_ = false;
    bool stopped_ = false;
};

}  // namespace masticgrade::peer
