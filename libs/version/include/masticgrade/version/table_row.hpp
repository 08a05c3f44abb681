#pragma once

#include <string>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// A row of the platform's table service. The value is JSON text.
struct table_row {
    std::string key;
    fleet_version version;
    std::string value;
};

/// A commit precondition: the row has the given version. Version 0 requires that the row does not
/// exist.
struct row_condition {
    std::string key;
    fleet_version version;
};

struct row_put {
    std::string key;
    std::string value;
};

/// An atomic, conditional write to several rows.
struct table_commit {
    std::vector<row_condition> conditions;
    std::vector<row_put> puts;
};

}  // namespace masticgrade
