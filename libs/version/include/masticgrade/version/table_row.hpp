#pragma once

#include <string>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// One row of the platform's table service; the value is JSON text.
struct table_row {
    std::string key;
    fleet_version version;
    std::string value;
};

/// Requires that a row still has the given version; version 0 means that it does not exist.
struct row_condition {
    std::string key;
    fleet_version version;
};

struct row_put {
    std::string key;
    std::string value;
};

/// A conditional change of several rows that takes effect as a whole or not at all.
struct table_commit {
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
};

}  // namespace masticgrade
