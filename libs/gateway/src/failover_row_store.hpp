#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "failover_row.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Reads and writes the failover row of one group.
///
/// Lives as long as the process. Thread safety: none; one executor.
class failover_row_store {
public:
    /// Precondition: `store` outlives this object.
    failover_row_store(table_service& store, group_id group, host_id self);

    /// Identifies one state of the row. The same version may be assigned again in another era.
    struct identity {
        fleet_version version;
        store_era era;
    };

    /// The row as it is now; of version zero if there is none. Throws masticgrade::error.
    boost::asio::awaitable<failover_row> read();
    /// Writes the record if the row is still the expected one. Returns the row's new version, or
    /// nullopt if the write failed, another host has replaced the row, or the store was restored.
    /// Throws masticgrade::error if that cannot be determined.
    boost::asio::awaitable<std::optional<fleet_version>> write(failover_record record,
                                                               identity expected);

private:
    table_service& store_;
    group_id group_;
    host_id self_;
    std::string key_;
};

}  // namespace masticgrade
