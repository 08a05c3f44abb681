#pragma once

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Whether the text has the form "ip:port" or "[ip6]:port". Thread safety: reentrant.
bool is_valid_address(const endpoint_address& address);

}  // namespace masticgrade
