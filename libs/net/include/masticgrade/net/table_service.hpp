#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

struct scan_result {
    fleet_version version;
    std::vector<table_row> rows;
};

struct commit_result {
    bool committed = false;
    /// The version of the commit; meaningful only when committed.
    fleet_version version;
    /// The rows whose condition failed, with their present version.
    std::vector<row_condition> conflicts;
};

/// One entry of the platform's lagging list of hosts.
struct platform_host {
    std::string id;
    endpoint_address address;
    failure_domain_id failure_domain;
    bool is_backend_server = false;
    bool leaving = false;
};

/// The platform's transactional table service and host list.
/// Every call throws masticgrade::error when there is no clear answer by the deadline; a commit
/// that throws may have taken effect. Thread safety: all calls may run concurrently.
class table_service {
public:
    table_service() = default;
    table_service(const table_service&) = delete;
    table_service& operator=(const table_service&) = delete;
    virtual ~table_service() = default;

    virtual boost::asio::awaitable<scan_result> scan(std::string prefix,
                                                     fleet_version modified_after,
                                                     time_point deadline) = 0;
    virtual boost::asio::awaitable<commit_result> commit(table_commit change,
                                                         time_point deadline) = 0;
    virtual boost::asio::awaitable<std::vector<platform_host>> list_hosts(time_point deadline) = 0;
};

}  // namespace masticgrade
