#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade::peer {

/// Parses "ip:port" with an IPv4 or a bracketed IPv6 address. Throws masticgrade::error if the
/// address is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(const endpoint_address& address);

endpoint_address format_endpoint(const boost::asio::ip::tcp::endpoint& endpoint);

/// Sets TCP_NODELAY, SO_KEEPALIVE and TCP_USER_TIMEOUT on a connected socket. Throws
/// boost::system::system_error on failure.
void set_connection_options(boost::asio::ip::tcp::socket& socket, milliseconds user_timeout);

}  // namespace masticgrade::peer
