#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Client of the platform's table service (HTTP with JSON bodies) with pooled connections.
/// Thread-safe: calls may run concurrently; each uses its own connection.
class platform_client final : public table_service {
public:
    platform_client(const boost::asio::any_io_executor& executor, endpoint_address platform);
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    ~platform_client() override;

    boost::asio::awaitable<scan_result> scan(std::string prefix, fleet_version modified_after,
                                             time_point deadline) override;
    boost::asio::awaitable<commit_result> commit(table_commit change, time_point deadline) override;
    boost::asio::awaitable<std::vector<platform_host>> list_hosts(time_point deadline) override;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

}  // namespace masticgrade
