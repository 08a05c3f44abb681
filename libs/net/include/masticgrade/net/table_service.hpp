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
    store_era era = {};
};

struct commit_result {
    bool committed = false;
    /// Version of the commit; valid only if `committed` is true.
    fleet_version version;
    /// Rows whose condition failed, with their current versions.
    std::vector<row_condition> conflicts;
    /// The era in which the commit was made or refused.
    store_era era = {};
};

/// An entry of the platform's host list, which may lag behind the actual state.
struct platform_host {
    std::string id;
    endpoint_address address;
    failure_domain_id failure_domain;
    bool is_backend_server = false;
    bool leaving = false;
};

/// Interface of the platform's transactional table service and host list.
/// Every call throws masticgrade::error if no definite response arrives by the deadline; a commit
/// that throws may still have taken effect. Thread-safe: calls may run concurrently.
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
