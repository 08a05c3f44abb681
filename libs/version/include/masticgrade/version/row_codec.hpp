#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "masticgrade/version/change_marks.hpp"
#include "masticgrade/version/configuration.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

inline constexpr std::string_view fleet_prefix = "fleet/";
inline constexpr std::string_view config_row_key = "fleet/config";
inline constexpr std::string_view operations_row_key = "fleet/operations";
inline constexpr std::string_view members_row_key = "fleet/members";
inline constexpr std::string_view group_row_prefix = "fleet/groups/";

std::string group_row_key(const group_id& group);
/// Returns the group of a group row, or `std::nullopt` for any other row key.
std::optional<group_id> group_from_row_key(std::string_view key);

/// The row `fleet/config`.
struct config_row {
    fleet_version version;
    configuration document;
    /// The operator who applied the document.
    std::string operator_name = {};
    change_marks marks = {};
};

// The decoders throw masticgrade::error with the row key as the peer and the invalid field in the
// reason. Outside the configuration document they ignore unknown fields, so that hosts of two
// releases can run side by side. The version is that of the row. Thread safety: reentrant.

config_row decode_config_row(const table_row& row);
operations decode_operations_row(const table_row& row);
members decode_members_row(const table_row& row);
group_record decode_group_row(const table_row& row);
/// Decodes only the version and the marks, which all kinds of rows have.
row_state decode_row_state(const table_row& row);

// The encoders return the new JSON text of a row. `mark` is the random identifier of the change and
// is added to the marks of the record, which are those of the row being replaced.
// Precondition: `mark` is not empty. Thread safety: reentrant.

std::string encode_config_row(const config_row& row, std::string mark);
std::string encode_operations_row(const operations& row, std::string mark);
std::string encode_members_row(const members& row, std::string mark);
std::string encode_group_row(const group_record& row, std::string mark);

}  // namespace masticgrade
