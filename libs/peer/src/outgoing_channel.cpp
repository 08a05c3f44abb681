#include "outgoing_channel.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "socket_options.hpp"

namespace masticgrade::peer {

namespace asio = boost::asio;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr logger log{"peer"};

}  // namespace

outgoing_channel::outgoing_channel(const asio::any_io_executor& executor, endpoint_address peer,
                                   const network_options& options,
                                   std::shared_ptr<traffic_counters> counters, std::uint64_t seed)
    : strand_(asio::make_strand(executor)),
      peer_(std::move(peer)),
      options_(options),
      counters_(std::move(counters)),
      random_(seed),
      wake_timer_(strand_) {}

awaitable<envelope> outgoing_channel::request(request_number id, std::vector<std::uint8_t> frame,
                                              time_point deadline) {
    // The calling coroutine may run on any executor, so the work is spawned on the strand.
    auto self = shared_from_this();
    co_return co_await asio::co_spawn(
        strand_, self->request_on_strand(id, std::move(frame), deadline), use_awaitable);
}

void outgoing_channel::post_one_way(std::vector<std::uint8_t> frame, time_point deadline) {
    asio::post(strand_, [self = shared_from_this(), frame = std::move(frame), deadline]() mutable {
        try {
            self->enqueue(std::move(frame), deadline);
        } catch (const error& failure) {
            log.debug("Dropped a one-way message reason=\"{}\".", failure.what());
        }
    });
}

void outgoing_channel::stop() {
    asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->queue_.clear();
        self->queued_bytes_ = 0;
        self->wake_timer_.cancel();
        // Copied because disconnect() resets the member.
        const auto socket = self->socket_;
        self->disconnect(socket, "network stopped");
        self->fail_requests("network stopped");
    });
}

awaitable<envelope> outgoing_channel::request_on_strand(request_number id,
                                                        std::vector<std::uint8_t> frame,
                                                        time_point deadline) {
    const auto self = shared_from_this();
    const auto pending = std::make_shared<pending_request>(strand_);
    pending->timer.expires_at(deadline);
    pending_requests_[id] = pending;
    try {
        enqueue(std::move(frame), deadline);
    } catch (...) {
        pending_requests_.erase(id);
        throw;
    }
    // A connection attempt may already have failed before the wait starts.
    if (pending->failure.empty()) {
        error_code ignored;
        co_await pending->timer.async_wait(redirect_error(use_awaitable, ignored));
    }
    pending_requests_.erase(id);
    if (pending->reply) {
        co_return std::move(*pending->reply);
    }
    throw error("peer request", peer_.str(),
                pending->failure.empty() ? "no reply by the deadline" : pending->failure);
}

void outgoing_channel::enqueue(std::vector<std::uint8_t> frame, time_point deadline) {
    if (stopped_) {
        throw error("peer request", peer_.str(), "network stopped");
    }
    drop_expired();
    if (queue_.size() >= options_.queue_limit ||
        queued_bytes_ + frame.size() > options_.queue_bytes_limit) {
        counters_->messages_refused.fetch_add(1);
        throw error("peer request", peer_.str(), "send queue full");
    }
    queued_bytes_ += frame.size();
    queue_.push_back({std::move(frame), deadline});
    if (socket_) {
        wake_timer_.cancel();
    }
    ensure_running();
}

void outgoing_channel::drop_expired() {
    const auto now = steady_clock::now();
    std::erase_if(queue_, [&](const queued_frame& frame) {
        if (frame.deadline > now) {
            return false;
        }
        queued_bytes_ -= frame.bytes.size();
        return true;
    });
}

void outgoing_channel::ensure_running() {
    if (running_) {
        return;
    }
    running_ = true;
    asio::co_spawn(
        strand_,
        [self = shared_from_this()]() -> awaitable<void> {
            try {
                co_await self->run();
            } catch (const std::exception& failure) {
                log.error("Outgoing connection task failed peer={} reason=\"{}\".", self->peer_,
                          failure.what());
            }
            self->running_ = false;
        },
        asio::detached);
}

// Connects only while frames are queued, so that unreachable peers without traffic cause no
// reconnect attempts.
awaitable<void> outgoing_channel::run() {
    for (drop_expired(); !stopped_ && !queue_.empty(); drop_expired()) {
        co_await wait_before_reconnect();
        drop_expired();
        if (stopped_ || queue_.empty()) {
            continue;
        }
        if (co_await connect()) {
            const auto socket = socket_;
            asio::co_spawn(
                strand_,
                [self = shared_from_this(), socket]() -> awaitable<void> {
                    co_await self->read_replies(socket);
                },
                asio::detached);
            co_await write_queue(socket);
        } else {
            increase_backoff();
        }
    }
}

awaitable<void> outgoing_channel::wait_before_reconnect() {
    if (reconnect_at_ <= steady_clock::now()) {
        co_return;
    }
    wake_timer_.expires_at(reconnect_at_);
    error_code ignored;
    co_await wake_timer_.async_wait(redirect_error(use_awaitable, ignored));
}

awaitable<bool> outgoing_channel::connect() {
    const auto socket = std::make_shared<tcp::socket>(strand_);
    socket_ = socket;
    asio::steady_timer timeout{strand_, options_.connect_timeout};
    const auto in_progress = std::make_shared<bool>(true);
    timeout.async_wait([socket, in_progress](error_code cancelled) {
        error_code ignored;
        if (!cancelled && *in_progress) {
            socket->close(ignored);
        }
    });
    error_code failure;
    try {
        const auto endpoint = parse_endpoint(peer_);
        co_await socket->async_connect(endpoint, redirect_error(use_awaitable, failure));
        if (!failure && socket_ == socket) {
            set_connection_options(*socket, options_.unacknowledged_limit);
        }
    } catch (const std::exception& invalid) {
        log.warning("Cannot open a connection peer={} reason=\"{}\".", peer_, invalid.what());
        failure = asio::error::invalid_argument;
    }
    *in_progress = false;
    if (failure || stopped_) {
        disconnect(socket, failure.message());
        co_return false;
    }
    co_return true;
}

awaitable<void> outgoing_channel::write_queue(socket_ptr socket) {
    error_code failure;
    while (socket_ == socket && !failure) {
        drop_expired();
        if (queue_.empty()) {
            wake_timer_.expires_after(options_.idle_limit);
            error_code wait_error;
            co_await wake_timer_.async_wait(redirect_error(use_awaitable, wait_error));
            if (!wait_error && queue_.empty() && pending_requests_.empty()) {
                break;
            }
            continue;
        }
        const auto frame = std::move(queue_.front());
        queue_.pop_front();
        queued_bytes_ -= frame.bytes.size();
        co_await asio::async_write(*socket, asio::buffer(frame.bytes),
                                   redirect_error(use_awaitable, failure));
        counters_->bytes_sent.fetch_add(frame.bytes.size());
    }
    disconnect(socket, failure ? failure.message() : "connection idle");
}

awaitable<void> outgoing_channel::read_replies(socket_ptr socket) {
    const auto self = shared_from_this();
    frame_decoder decoder;
    std::array<std::uint8_t, 16384> chunk{};
    std::string reason;
    try {
        for (;;) {
            const auto size = co_await socket->async_read_some(asio::buffer(chunk), use_awaitable);
            counters_->bytes_received.fetch_add(size);
            decoder.feed({chunk.data(), size});
            while (const auto payload = decoder.next()) {
                handle_reply(decode(*payload));
            }
        }
    } catch (const error& invalid) {
        counters_->connections_rejected.fetch_add(1);
        log.warning("Invalid reply from a peer; closing the connection peer={} reason=\"{}\".",
                    peer_, invalid.what());
        increase_backoff();
        reason = invalid.what();
    } catch (const boost::system::system_error& closed) {
        reason = closed.code().message();
    }
    disconnect(socket, reason);
}

void outgoing_channel::handle_reply(envelope message) {
    // The backoff is reset by a valid reply rather than by an accepted connection, which does not
    // prove that the peer is working.
    backoff_ = milliseconds{0};
    const auto found = pending_requests_.find(message.request_id);
    if (!message.is_reply || found == pending_requests_.end()) {
        return;
    }
    const auto pending = found->second;
    pending_requests_.erase(found);
    pending->reply = std::move(message);
    pending->timer.cancel();
}

void outgoing_channel::disconnect(const socket_ptr& socket, const std::string& reason) {
    if (!socket || socket_ != socket) {
        return;
    }
    socket_.reset();
    error_code ignored;
    socket->close(ignored);
    wake_timer_.cancel();
    fail_requests(reason);
}

void outgoing_channel::fail_requests(const std::string& reason) {
    for (auto& [id, pending] : std::exchange(pending_requests_, {})) {
        pending->failure = "connection lost: " + reason;
        pending->timer.cancel();
    }
    // The callers have been notified of the failure, so the queued frames must not be sent later.
    queue_.clear();
    queued_bytes_ = 0;
}

void outgoing_channel::increase_backoff() {
    const auto doubled = std::min(backoff_ * 2, options_.backoff_limit);
    backoff_ = std::max(doubled, options_.backoff_start);
    std::uniform_int_distribution<milliseconds::rep> delay(backoff_.count() / 2, backoff_.count());
    reconnect_at_ = steady_clock::now() + milliseconds{delay(random_)};
}

}  // namespace masticgrade::peer
