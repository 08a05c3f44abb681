#pragma once

namespace masticgrade {

/// The current role of an instance within its group. A sealed instance rejects writes of older
/// terms.
enum class instance_role { primary, replica, sealed };

}  // namespace masticgrade
