#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "masticgrade/control/commands.hpp"
#include "masticgrade/control/row_change.hpp"

namespace masticgrade {

/// Describes the change made by a command, for its report.
struct change_description {
    /// A sentence without its full stop, for example `Revoked key "k1"`.
    std::string done;
    /// The first fields of the JSON object of the report.
    boost::json::object fields = {};
};

change_retry_policy retry_policy_of(const control_services& services);

/// Waits until a majority of the members has acknowledged a recorded change, or until the deadline,
/// and reports the outcome. Throws masticgrade::error if the change was never sent.
boost::asio::awaitable<command_result> report_change(control_services services,
                                                     change_result change,
                                                     change_description description);

}  // namespace masticgrade
