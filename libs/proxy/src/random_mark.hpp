#pragma once

#include <string>

namespace masticgrade {

/// Returns random text that identifies one change of a row. Thread safety: reentrant.
std::string make_random_mark();

}  // namespace masticgrade
