#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The admin interface of the proxies. Thread safety: calls must not overlap.
class proxy_admin {
public:
    proxy_admin() = default;
    proxy_admin(const proxy_admin&) = delete;
    proxy_admin& operator=(const proxy_admin&) = delete;
    proxy_admin(proxy_admin&&) = delete;
    proxy_admin& operator=(proxy_admin&&) = delete;
    virtual ~proxy_admin() = default;

    /// Returns the response of any proxy to GET /admin/v1/status. Throws masticgrade::error if none
    /// responds by the deadline.
    virtual boost::asio::awaitable<boost::json::object> read_status(time_point deadline) = 0;
};

/// Queries the proxies over HTTP in turn, starting with the one that responded last.
class http_proxy_admin final : public proxy_admin {
public:
    /// Precondition: `proxies` is not empty.
    http_proxy_admin(boost::asio::any_io_executor executor, std::vector<endpoint_address> proxies);

    boost::asio::awaitable<boost::json::object> read_status(time_point deadline) override;

private:
    boost::asio::awaitable<boost::json::object> fetch_status(endpoint_address proxy,
                                                             time_point deadline);

    boost::asio::any_io_executor executor_;
    std::vector<endpoint_address> proxies_;
    std::size_t preferred_ = 0;
};

/// The version that a member has applied, as reported by a proxy.
struct member_version {
    host_id id;
    fleet_version version;
};

/// Reads the field `members` of a status. Throws masticgrade::error if it is missing,
/// malformed or lists a member twice.
/// Thread safety: reentrant.
std::vector<member_version> parse_member_versions(const boost::json::object& status);

}  // namespace masticgrade
