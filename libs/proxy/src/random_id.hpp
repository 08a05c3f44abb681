#pragma once

#include <string>

namespace masticgrade {

/// Returns a random 128-bit identifier, encoded as base64url. Thread safety: reentrant.
std::string make_random_id();

}  // namespace masticgrade
