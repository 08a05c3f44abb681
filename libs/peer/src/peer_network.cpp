#include "masticgrade/peer/peer_network.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include "incoming_connection.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/peer/codec.hpp"
#include "outgoing_channel.hpp"
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
/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{100};

}  // namespace

class peer_network::impl : public std::enable_shared_from_this<peer_network::impl> {
public:
    impl(asio::any_io_executor executor, network_options options)
        : executor_(std::move(executor)),
          accept_strand_(asio::make_strand(executor_)),
          options_(std::move(options)),
          acceptor_(accept_strand_),
          random_(options_.seed) {}

    void start(message_handler handler) {
        auto context = std::make_shared<incoming_context>();
        context->options = options_;
        context->handler = std::move(handler);
        context->counters = counters_;
        context->encode_reply = [weak = weak_from_this()](request_number id, message_body body) {
            const auto self = weak.lock();
            if (!self) {
                throw error("peer reply", "", "network stopped");
            }
            return self->encode_message(id, true, std::move(body));
        };
        context_ = std::move(context);
        listen();
        asio::co_spawn(
            accept_strand_,
            [self = shared_from_this()]() -> awaitable<void> { co_await self->accept_loop(); },
            asio::detached);
    }

    [[nodiscard]] endpoint_address local_address() const { return local_address_; }

    void set_identity(incarnation_number incarnation, fleet_version members_version) {
        const std::lock_guard lock{mutex_};
        incarnation_ = incarnation;
        members_version_ = members_version;
    }

    awaitable<envelope> request(endpoint_address peer, message_body body, time_point deadline) {
        const auto self = shared_from_this();
        const request_number id{next_request_id_.fetch_add(1)};
        auto frame = encode_message(id, false, std::move(body));
        const auto channel = get_or_create_channel(peer);
        co_return co_await channel->request(id, std::move(frame), deadline);
    }

    void send(const endpoint_address& peer, message_body body, time_point deadline,
              const std::optional<message_identity>& identity) {
        auto frame = encode_message(request_number{}, false, std::move(body), identity);
        get_or_create_channel(peer)->post_one_way(std::move(frame), deadline);
    }

    void send_to_all(const std::vector<endpoint_address>& peers, message_body body,
                     time_point deadline) {
        const auto frame = encode_message(request_number{}, false, std::move(body));
        for (const auto& peer : peers) {
            get_or_create_channel(peer)->post_one_way(frame, deadline);
        }
    }

    [[nodiscard]] network_counters counters() const {
        return {counters_->bytes_sent.load(), counters_->bytes_received.load(),
                counters_->messages_refused.load(), counters_->connections_rejected.load()};
    }

    void stop() {
        std::map<endpoint_address, std::shared_ptr<outgoing_channel>> channels;
        std::vector<std::weak_ptr<incoming_connection>> connections;
        {
            const std::lock_guard lock{mutex_};
            if (std::exchange(stopped_, true)) {
                return;
            }
            channels.swap(channels_);
            connections.swap(connections_);
        }
        asio::post(accept_strand_, [self = shared_from_this()] {
            error_code ignored;
            self->acceptor_.close(ignored);
        });
        for (const auto& [peer, channel] : channels) {
            channel->stop();
        }
        for (const auto& weak : connections) {
            if (const auto connection = weak.lock()) {
                connection->stop();
            }
        }
    }

private:
    void listen() {
        const auto endpoint = parse_endpoint(options_.listen);
        try {
            acceptor_.open(endpoint.protocol());
            acceptor_.set_option(tcp::acceptor::reuse_address{true});
            acceptor_.bind(endpoint);
            acceptor_.listen();
            local_address_ = format_endpoint(acceptor_.local_endpoint());
        } catch (const boost::system::system_error& failure) {
            throw error("peer listen", options_.listen.str(), failure.code().message());
        }
    }

    awaitable<void> accept_loop() {
        while (acceptor_.is_open()) {
            error_code failure;
            auto socket = co_await acceptor_.async_accept(asio::make_strand(executor_),
                                                          redirect_error(use_awaitable, failure));
            if (!failure) {
                add_connection(std::move(socket));
            } else if (acceptor_.is_open()) {
                log.warning("Cannot accept a connection; retrying after a delay reason=\"{}\".",
                            failure.message());
                asio::steady_timer timer{accept_strand_, accept_retry_delay};
                co_await timer.async_wait(redirect_error(use_awaitable, failure));
            }
        }
    }

    void add_connection(tcp::socket socket) {
        const auto connection = std::make_shared<incoming_connection>(std::move(socket), context_);
        const std::lock_guard lock{mutex_};
        if (stopped_) {
            return;
        }
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(connection);
        connection->start();
    }

    std::shared_ptr<outgoing_channel> get_or_create_channel(const endpoint_address& peer) {
        const std::lock_guard lock{mutex_};
        if (stopped_) {
            throw error("peer request", peer.str(), "network stopped");
        }
        auto& channel = channels_[peer];
        if (!channel) {
            channel =
                std::make_shared<outgoing_channel>(executor_, peer, options_, counters_, random_());
        }
        return channel;
    }

    std::vector<std::uint8_t> encode_message(
        request_number id, bool is_reply, message_body body,
        const std::optional<message_identity>& identity = std::nullopt) {
        envelope message;
        message.request_id = id;
        message.is_reply = is_reply;
        message.sender = options_.sender;
        if (identity) {
            message.incarnation = identity->incarnation;
            message.members_version = identity->members_version;
            message.recipient_incarnation = identity->recipient_incarnation;
        } else {
            const std::lock_guard lock{mutex_};
            message.incarnation = incarnation_;
            message.members_version = members_version_;
        }
        message.body = std::move(body);
        return encode(message);
    }

    const asio::any_io_executor executor_;
    const asio::any_io_executor accept_strand_;
    const network_options options_;
    tcp::acceptor acceptor_;
    endpoint_address local_address_;
    std::shared_ptr<traffic_counters> counters_ = std::make_shared<traffic_counters>();
    std::shared_ptr<const incoming_context> context_;
    /// Starts at one because a request id of zero marks a one-way message.
    std::atomic<std::uint64_t> next_request_id_{1};

    std::mutex mutex_;
    // Guarded by mutex_.
    std::mt19937_64 random_;
    incarnation_number incarnation_;
    fleet_version members_version_;
    std::map<endpoint_address, std::shared_ptr<outgoing_channel>> channels_;
    std::vector<std::weak_ptr<incoming_connection>> connections_;
    bool stopped_ = false;
};

peer_network::peer_network(asio::any_io_executor executor, network_options options,
                           message_handler handler) {
    MG_PRECONDITION(handler != nullptr);
    impl_ = std::make_shared<impl>(std::move(executor), std::move(options));
    impl_->start(std::move(handler));
}

peer_network::~peer_network() { impl_->stop(); }

endpoint_address peer_network::local_address() const { return impl_->local_address(); }

void peer_network::set_identity(incarnation_number incarnation, fleet_version members_version) {
    impl_->set_identity(incarnation, members_version);
}

awaitable<envelope> peer_network::request(endpoint_address peer, message_body body,
                                          time_point deadline) {
    return impl_->request(std::move(peer), std::move(body), deadline);
}

void peer_network::send(const endpoint_address& peer, message_body body, time_point deadline,
                        std::optional<message_identity> identity) {
    impl_->send(peer, std::move(body), deadline, identity);
}

void peer_network::send_to_all(const std::vector<endpoint_address>& peers, message_body body,
                               time_point deadline) {
    impl_->send_to_all(peers, std::move(body), deadline);
}

network_counters peer_network::counters() const { return impl_->counters(); }

void peer_network::stop() { impl_->stop(); }

}  // namespace masticgrade::peer
