#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/control/proxy_admin.hpp"
#include "masticgrade/net/table_service.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

namespace masticgrade {

/// Waits for the interval or until the deadline, whichever comes first.
boost::asio::awaitable<void> wait_for(milliseconds interval, time_point deadline);

/// Returns the deadline of one attempt, which is limited so that an unresponsive connection leaves
/// time for further attempts.
time_point attempt_deadline(time_point deadline);

/// Reads all rows under `fleet/`. Throws masticgrade::error.
boost::asio::awaitable<snapshot_update> load_fleet(table_service& table, time_point deadline);

const rejected_row* find_rejected(const snapshot_update& fleet, std::string_view key);

struct acknowledgement {
    /// The number of members, and the number of those that have applied the version.
    std::size_t members = 0;
    std::size_t acknowledged = 0;
    /// Why the last query failed; empty if it succeeded.
    std::string failure = {};

    [[nodiscard]] bool by_majority() const { return members > 0 && 2 * acknowledged > members; }
};

/// Waits until a majority of the members has applied the version, or until the deadline.
boost::asio::awaitable<acknowledgement> wait_for_majority(proxy_admin& proxies,
                                                          fleet_version version,
                                                          time_point deadline,
                                                          milliseconds interval);

}  // namespace masticgrade
