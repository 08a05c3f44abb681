#pragma once

#include <optional>
#include <string>

#include "masticgrade/base/fence.hpp"
#include "masticgrade/gateway/leadership_evidence.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// The row of the store that serializes a group's failovers. It is the lock of the attempt in
/// progress and afterwards records the outcome.
struct failover_row {
    failover_record record;
    /// The host that acquired the lock last.
    host_id holder;
    /// Version of the row; zero if there is none.
    fleet_version version;
    /// Era of the store in which the row was read.
    store_era era;

    /// Key prefix of the rows of all groups.
    static const std::string prefix;
};

/// Thread safety: reentrant.
std::string failover_row_key(const group_id& group);
/// The row's value. Values of the same state differ, so that each write changes the row.
/// Thread safety: reentrant.
std::string encode_failover_row(const failover_record& record, const host_id& holder);
/// An unreadable value is logged and counts as an attempt in progress, so that no primary is used
/// until a host has replaced the row. Thread safety: reentrant.
failover_row decode_failover_row(const table_row& row);
/// The group's row among `rows`, if any. Thread safety: reentrant.
std::optional<failover_row> find_failover_row(const std::vector<table_row>& rows,
                                              const group_id& group);

}  // namespace masticgrade
