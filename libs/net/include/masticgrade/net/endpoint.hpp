#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Parses "ip:port" or "[ipv6]:port". Throws masticgrade::error if the address is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(const endpoint_address& address);

}  // namespace masticgrade
