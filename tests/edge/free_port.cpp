#include "free_port.hpp"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace masticgrade::edge_test {

unsigned short free_port() {
    static unsigned short next = static_cast<unsigned short>(20000 + ::getpid() % 10000);
    constexpr unsigned short first = 20000;
    constexpr unsigned short end = 32000;
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
