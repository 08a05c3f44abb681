#pragma once

#include <string>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// A row that could not be decoded; its previous content stays in force.
struct rejected_row {
    std::string key;
    fleet_version version;
    std::string reason;
};

struct snapshot_update {
    /// Never null. The snapshot given, if no row was newer than what it holds.
    fleet_snapshot_ptr snapshot;
    std::vector<rejected_row> rejected;
};

/// Computes the fields of a snapshot that are derived from the others, and publishes it. Tests
/// that fill a snapshot by hand use this as well. Thread safety: reentrant.
fleet_snapshot_ptr finalize_snapshot(fleet_snapshot snapshot);

/// Applies rows in any order to a snapshot, which may be null for the empty one.
///
/// A row replaces only an older version of itself. The version of the result is the highest of all
/// rows, and a row that cannot be decoded counts: otherwise one bad row would leave every host
/// behind the fleet version, and all would stop serving. Rows outside `fleet/` are ignored, and
/// rows of an unknown kind are kept but have no effect.
/// Thread safety: reentrant.
snapshot_update apply_rows(const fleet_snapshot_ptr& current, const std::vector<table_row>& rows);

/// The rows that changed after a version, for a peer that lags behind. Thread safety: reentrant.
std::vector<table_row> rows_modified_after(const fleet_snapshot& snapshot, fleet_version version);

}  // namespace masticgrade
