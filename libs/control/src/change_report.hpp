#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "masticgrade/control/commands.hpp"
#include "masticgrade/control/row_change.hpp"

namespace masticgrade {

/// What a command changes, for its report.
struct change_description {
    /// A sentence without full stop, for example `Revoked key "k1"`.
    std::string done;
    /// The fields that the JSON object of the report begins with.
    boost::json::object fields = {};
};

change_retry_policy retry_policy_of(const control_services& services);

/// Waits until a majority has acknowledged a recorded change, and reports what became of the
/// change. Throws masticgrade::error if it was never sent.
boost::asio::awaitable<command_result> report_change(control_services services,
                                                     change_result change,
                                                     change_description description);

}  // namespace masticgrade
