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

/// Waits for the interval, but not past the deadline.
boost::asio::awaitable<void> wait_for(milliseconds interval, time_point deadline);

/// The deadline of one attempt: a silent connection must not use up the time of the others.
time_point attempt_deadline(time_point deadline);

/// Reads all rows under `fleet/`. Throws masticgrade::error.
boost::asio::awaitable<snapshot_update> load_fleet(table_service& table, time_point deadline);

const rejected_row* find_rejected(const snapshot_update& fleet, std::string_view key);

struct acknowledgement {
    /// How many members there are, and how many have applied the version.
    std::size_t members = 0;
    std::size_t acknowledged = 0;
    /// Why the last query had no usable answer.
    std::string failure = {};

    [[nodiscard]] bool by_majority() const { return members > 0 && 2 * acknowledged > members; }
};

/// Waits until a majority of the members has applied the version, or until the deadline.
boost::asio::awaitable<acknowledgement> wait_for_majority(proxy_admin& proxies,
                                                          fleet_version version,
                                                          time_point deadline,
                                                          milliseconds interval);

}  // namespace masticgrade
