#include "socket_options.hpp"

#include <fmt/format.h>
#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>
#include <string_view>

#include "masticgrade/base/error.hpp"

namespace masticgrade::peer {

namespace {

using tcp = boost::asio::ip::tcp;
using tcp_user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

tcp::endpoint parse_endpoint(const endpoint_address& address) {
    const std::string_view text = address.str();
    const auto colon = text.rfind(':');
    const auto fail = [&] {
        return error("peer address", address.str(), "is not an \"ip:port\" pair");
    };
    if (colon == std::string_view::npos) {
        throw fail();
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, parse_error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code bad_address;
    const auto ip = boost::asio::ip::make_address(std::string{host}, bad_address);
    if (parse_error != std::errc{} || end != digits.data() + digits.size() || bad_address) {
        throw fail();
    }
    return {ip, port};
}

endpoint_address format_endpoint(const tcp::endpoint& endpoint) {
    const auto ip = endpoint.address().to_string();
    return endpoint_address{endpoint.address().is_v6() ? fmt::format("[{}]:{}", ip, endpoint.port())
                                                       : fmt::format("{}:{}", ip, endpoint.port())};
}

void set_connection_options(tcp::socket& socket, milliseconds user_timeout) {
    socket.set_option(tcp::no_delay{true});
    // Detects dead peers on accepted connections, which may have no unacknowledged data for
    // TCP_USER_TIMEOUT to act on.
    socket.set_option(boost::asio::socket_base::keep_alive{true});
    socket.set_option(tcp_user_timeout{static_cast<int>(user_timeout.count())});
}

}  // namespace masticgrade::peer
