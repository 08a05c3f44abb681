#include "incoming_connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/peer/codec.hpp"
#include "socket_options.hpp"

namespace masticgrade::peer {

namespace asio = boost::asio;
using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

constexpr logger log{"peer"};

}  // namespace

incoming_connection::incoming_connection(asio::ip::tcp::socket socket,
                                         std::shared_ptr<const incoming_context> context)
    : socket_(std::move(socket)),
      context_(std::move(context)),
      handler_finished_(socket_.get_executor()) {}

void incoming_connection::start() {
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()]() -> awaitable<void> { co_await self->read_requests(); },
        asio::detached);
}

void incoming_connection::stop() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

awaitable<void> incoming_connection::read_requests() {
    frame_decoder decoder;
    std::array<std::uint8_t, 16384> chunk{};
    try {
        set_connection_options(socket_, context_->options.unacknowledged_limit);
        for (;;) {
            const auto size = co_await socket_.async_read_some(asio::buffer(chunk), use_awaitable);
            context_->counters->bytes_received.fetch_add(size);
            decoder.feed({chunk.data(), size});
            while (const auto payload = decoder.next()) {
                auto message = decode(*payload);
                co_await wait_for_free_handler();
                ++active_handlers_;
                asio::co_spawn(
                    socket_.get_executor(),
                    [self = shared_from_this(), message = std::move(message)]() mutable
                    -> awaitable<void> { co_await self->handle(std::move(message)); },
                    asio::detached);
            }
        }
    } catch (const error& invalid) {
        context_->counters->connections_rejected.fetch_add(1);
        log.warning("Invalid data from a peer; closing the connection reason=\"{}\".",
                    invalid.what());
    } catch (const boost::system::system_error& closed) {
        log.debug("Connection closed reason=\"{}\".", closed.code().message());
    }
    close();
}

awaitable<void> incoming_connection::wait_for_free_handler() {
    while (active_handlers_ >= context_->options.handlers_per_connection) {
        handler_finished_.expires_at(asio::steady_timer::time_point::max());
        error_code ignored;
        co_await handler_finished_.async_wait(redirect_error(use_awaitable, ignored));
    }
}

awaitable<void> incoming_connection::handle(envelope message) {
    const auto id = message.request_id;
    const bool expects_reply = !message.is_reply && id != request_number{};
    std::optional<std::vector<std::uint8_t>> frame;
    try {
        auto reply = co_await context_->handler(std::move(message));
        if (reply && expects_reply) {
            frame = context_->encode_reply(id, std::move(*reply));
        }
    } catch (const std::exception& failure) {
        log.warning("Message handler failed reason=\"{}\".", failure.what());
    }
    --active_handlers_;
    handler_finished_.cancel();
    if (frame) {
        queue_reply(std::move(*frame));
    }
}

void incoming_connection::queue_reply(std::vector<std::uint8_t> frame) {
    if (!socket_.is_open()) {
        return;
    }
    if (queued_bytes_ + frame.size() > context_->options.queue_bytes_limit) {
        // The peer is not reading its replies, so its requests will time out anyway.
        context_->counters->messages_refused.fetch_add(1);
        return;
    }
    queued_bytes_ += frame.size();
    replies_.push_back(std::move(frame));
    if (writing_) {
        return;
    }
    writing_ = true;
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()]() -> awaitable<void> { co_await self->write_replies(); },
        asio::detached);
}

awaitable<void> incoming_connection::write_replies() {
    error_code failure;
    while (!replies_.empty() && !failure) {
        const auto frame = std::move(replies_.front());
        replies_.pop_front();
        queued_bytes_ -= frame.size();
        co_await asio::async_write(socket_, asio::buffer(frame),
                                   redirect_error(use_awaitable, failure));
        context_->counters->bytes_sent.fetch_add(frame.size());
    }
    writing_ = false;
    if (failure) {
        close();
    }
}

void incoming_connection::close() {
    error_code ignored;
    socket_.close(ignored);
    handler_finished_.cancel();
    replies_.clear();
    queued_bytes_ = 0;
}

}  // namespace masticgrade::peer
