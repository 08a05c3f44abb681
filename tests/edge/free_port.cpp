#include "free_port.hpp"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace masticgrade::edge_test {

unsigned short free_port() {
    constexpr unsigned short first = 20000;
    constexpr unsigned short end = 32000;
    // Processes that are started together have adjacent ids and must not choose the same ports.
    constexpr int ports_per_process = 40;
    static unsigned short next = static_cast<unsigned short>(
        first + ::getpid() % ((end - first) / ports_per_process) * ports_per_process);
    for (;;) {
        next = next + 1 < end ? static_cast<unsigned short>(next + 1) : first;
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor{context, boost::asio::ip::tcp::v4()};
        boost::system::error_code fault;
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        acceptor.bind({boost::asio::ip::make_address_v4("127.0.0.1"), next}, fault);
        if (!fault) {
            return next;
        }
    }
}

}  // namespace masticgrade::edge_test
