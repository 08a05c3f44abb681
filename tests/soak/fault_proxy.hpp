#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "masticgrade/base/time.hpp"

namespace masticgrade::soak {

/// What a proxy does to the connections through it.
enum class link_fault {
    none,
    /// Every chunk is held back for a while.
    delay,
    /// Nothing passes towards the server; what the server sends still does.
    one_way,
    /// The connections that are open now are silent for good; new ones work.
    silence_open,
    /// The connections that are open now are reset; new ones work.
    reset_open,
    /// Open and new connections are reset.
    refuse,
    /// Nothing passes in either direction, on open and new connections.
    cut,
};

/// Passes bytes between a port of loopback and a server, with faults. Thread safety: none; one
/// executor.
class fault_proxy {
public:
    fault_proxy(boost::asio::io_context& context, unsigned short target);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    ~fault_proxy();

    [[nodiscard]] unsigned short port() const;
    void set_fault(link_fault fault);
    /// New connections go to this port.
    void set_target(unsigned short target) { target_ = target; }

private:
    struct connection;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> item);
    boost::asio::awaitable<void> pump(std::shared_ptr<connection> item, bool to_server);
    void reset_all();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    unsigned short target_;
    link_fault fault_ = link_fault::none;
    std::set<std::shared_ptr<connection>> connections_;
};

}  // namespace masticgrade::soak
