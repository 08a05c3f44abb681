#include "http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "wake_signal.hpp"

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct http_server::connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    beast::flat_buffer buffer;
    silence silent = silence::none;
    bool from_instance = false;
};

tcp::endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(text.substr(0, colon), failure);
        if (parsed.ec == std::errc{} && parsed.ptr == end && !failure) {
            return {address, port};
        }
    }
    throw std::invalid_argument("not an ip:port pair: " + text);
}

http_server::http_server(asio::io_context& io, const std::string& address,
                         http_server_options options, fault_state& faults, session_factory factory)
    : acceptor_(io, parse_endpoint(address), true),
      options_(std::move(options)),
      faults_(faults),
      factory_(std::move(factory)) {
    asio::co_spawn(io, accept_loop(), asio::detached);
}

std::uint16_t http_server::port() const { return acceptor_.local_endpoint().port(); }

void http_server::silence_connections(bool take_effect) {
    for (auto* peer : connections_) {
        if (!peer->from_instance) {
            peer->silent = take_effect ? silence::unanswered : silence::unread;
        }
    }
}

bool http_server::cut_off(const connection& peer) const {
    return faults_.isolated && (peer.from_instance || !faults_.clients_pass);
}

void http_server::faults_changed() {
    for (auto* peer : connections_) {
        if (faults_.down) {
            boost::system::error_code ignored;
            peer->socket.close(ignored);
        } else if (cut_off(*peer)) {
            peer->silent = silence::unread;
        }
    }
}

asio::awaitable<void> http_server::accept_loop() {
    for (;;) {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        if (faults_.down) {
            continue;
        }
        socket.set_option(tcp::no_delay(true));
        auto peer = std::make_shared<connection>(std::move(socket));
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(peer)), asio::detached);
    }
}

asio::awaitable<void> http_server::serve(std::shared_ptr<connection> peer) {
    struct registration {
        std::set<connection*>& all;
        connection* self;
        registration(std::set<connection*>& all, connection* self) : all(all), self(self) {
            all.insert(self);
        }
        registration(const registration&) = delete;
        registration(registration&&) = delete;
        registration& operator=(const registration&) = delete;
        registration& operator=(registration&&) = delete;
        ~registration() { all.erase(self); }
    };
    const registration entry(connections_, peer.get());
    try {
        if (options_.setup_delay > duration::zero()) {
            co_await sleep_for(options_.setup_delay);
        }
        const auto session = factory_();
        while (co_await serve_one(*peer, *session)) {
        }
    } catch (const boost::system::system_error&) {
        // The peer closed the connection or sent something other than HTTP.
    }
}

asio::awaitable<bool> http_server::serve_one(connection& peer, http_session& session) {
    http::request_parser<http::string_body> parser;
    constexpr std::uint64_t largest_body = 16ULL * 1024 * 1024;
    parser.body_limit(largest_body);
    co_await http::async_read(peer.socket, peer.buffer, parser, asio::use_awaitable);
    auto message = parser.release();
    if (message.target() == options_.instance_target) {
        peer.from_instance = true;
    }
    if (cut_off(peer)) {
        peer.silent = silence::unread;
    }
    if (peer.silent == silence::unread) {
        co_return true;
    }
    http_request request{std::string(message.method_string()), std::string(message.target()),
                         std::move(message.body())};
    auto answer = co_await session.handle(std::move(request));
    if (faults_.slow > milliseconds{0} && !peer.from_instance) {
        co_await sleep_for(faults_.slow);
    }
    if (peer.silent != silence::none) {
        co_return true;
    }
    if (answer.lost || faults_.down) {
        co_return false;
    }
    http::response<http::string_body> response{static_cast<http::status>(answer.status),
                                               message.version()};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(message.keep_alive() && !answer.close_afterwards);
    response.body() = std::move(answer.body);
    response.prepare_payload();
    co_await http::async_write(peer.socket, response, asio::use_awaitable);
    co_return response.keep_alive();
}

}  // namespace masticgrade::standins
