#pragma once

namespace masticgrade {

/// What an instance currently is within its group. A sealed one accepts no writes of older terms.
enum class instance_role { primary, replica, sealed };

}  // namespace masticgrade
