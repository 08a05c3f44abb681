#include "fault_proxy.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace masticgrade::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr milliseconds chunk_delay{120};
constexpr milliseconds held_poll{20};
constexpr std::size_t chunk_size = 16384;

tcp::endpoint loopback(unsigned short port) {
    return {asio::ip::make_address_v4("127.0.0.1"), port};
}

void reset(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

}  // namespace

struct fault_proxy::connection {
    explicit connection(asio::io_context& context) : client(context), server(context) {}

    void reset_both() {
        reset(client);
        reset(server);
    }

    tcp::socket client;
    tcp::socket server;
    bool silent = false;
    /// The server has dropped it, and what the client still sends is lost.
    bool cut = false;
};

fault_proxy::fault_proxy(asio::io_context& context, unsigned short target)
    : context_(context), acceptor_(context, loopback(0)), target_(target) {
    asio::co_spawn(context_, accept(), asio::detached);
}

fault_proxy::~fault_proxy() { reset_all(); }

unsigned short fault_proxy::port() const { return acceptor_.local_endpoint().port(); }

void fault_proxy::reset_all() {
    for (const auto& item : connections_) {
        item->reset_both();
    }
}

void fault_proxy::set_fault(link_fault fault) {
    fault_ = fault;
    if (fault == link_fault::silence_open) {
        for (const auto& item : connections_) {
            item->silent = true;
        }
    }
    if (fault == link_fault::cut) {
        for (const auto& item : connections_) {
            boost::system::error_code ignored;
            item->cut = true;
            item->server.close(ignored);
        }
    }
    if (fault == link_fault::reset_open || fault == link_fault::refuse) {
        reset_all();
    }
}

asio::awaitable<void> fault_proxy::accept() {
    for (;;) {
        auto item = std::make_shared<connection>(context_);
        boost::system::error_code fault;
        co_await acceptor_.async_accept(item->client,
                                        asio::redirect_error(asio::use_awaitable, fault));
        if (fault) {
            co_return;
        }
        if (fault_ == link_fault::refuse) {
            reset(item->client);
        } else {
            asio::co_spawn(context_, serve(std::move(item)), asio::detached);
        }
    }
}

asio::awaitable<void> fault_proxy::serve(std::shared_ptr<connection> item) {
    if (fault_ == link_fault::cut) {
        item->cut = true;
        co_await pump(item, true);
        co_return;
    }
    connections_.insert(item);
    boost::system::error_code fault;
    co_await item->server.async_connect(loopback(target_),
                                        asio::redirect_error(asio::use_awaitable, fault));
    if (fault) {
        item->reset_both();
        connections_.erase(item);
        co_return;
    }
    asio::co_spawn(context_, pump(item, true), asio::detached);
    co_await pump(item, false);
    connections_.erase(item);
}

asio::awaitable<void> fault_proxy::pump(std::shared_ptr<connection> item, bool to_server) {
    auto& from = to_server ? item->client : item->server;
    auto& to = to_server ? item->server : item->client;
    std::array<char, chunk_size> buffer{};
    const auto sleep = [&](milliseconds length) -> asio::awaitable<void> {
        asio::steady_timer timer{context_, length};
        co_await timer.async_wait(asio::use_awaitable);
    };
    for (;;) {
        boost::system::error_code fault;
        const auto length = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, fault));
        if (fault) {
            break;
        }
        while (from.is_open() && !item->cut &&
               (item->silent || (to_server && fault_ == link_fault::one_way))) {
            co_await sleep(held_poll);
        }
        if (fault_ == link_fault::delay) {
            co_await sleep(chunk_delay);
        }
        if (item->cut) {
            continue;
        }
        co_await asio::async_write(to, asio::buffer(buffer.data(), length),
                                   asio::redirect_error(asio::use_awaitable, fault));
        if (fault && !item->cut) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (to_server || !item->cut) {
        item->client.close(ignored);
    }
    item->server.close(ignored);
}

}  // namespace masticgrade::soak
