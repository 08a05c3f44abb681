#include "masticgrade/net/endpoint.hpp"

#include <charconv>
#include <string_view>

#include "masticgrade/base/error.hpp"

namespace masticgrade {

boost::asio::ip::tcp::endpoint parse_endpoint(const endpoint_address& address) {
    const std::string_view text = address.str();
    const auto colon = text.rfind(':');
    auto host = text.substr(0, colon == std::string_view::npos ? 0 : colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(std::string{host}, failure);
    unsigned short port = 0;
    const auto digits =
        colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure || digits.empty() || code != std::errc{} || end != digits.data() + digits.size()) {
        throw error("address", address.str(), "not of the form ip:port");
    }
    return {ip, port};
}

}  // namespace masticgrade
