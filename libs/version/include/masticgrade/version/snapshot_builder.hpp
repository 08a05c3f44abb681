#pragma once

#include <string>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// A row that could not be decoded; its previous content stays in effect.
struct rejected_row {
    std::string key;
    fleet_version version;
    std::string reason;
};

struct snapshot_update {
    /// Never null. The input snapshot itself if no row is newer than the version it holds.
    fleet_snapshot_ptr snapshot;
    std::vector<rejected_row> rejected;
};

/// Computes the derived fields of a snapshot and makes it immutable. Also for tests that construct
/// a snapshot directly. Thread safety: reentrant.
fleet_snapshot_ptr finalize_snapshot(fleet_snapshot snapshot);

/// Applies rows, in any order, to a snapshot. A null snapshot is treated as empty.
///
/// A row replaces only an older version of itself. The snapshot version becomes the highest row
/// version, including rows that cannot be decoded: otherwise a single malformed row would keep
/// every host below the fleet version, and all hosts would stop serving. Rows outside `fleet/` are
/// ignored. Rows of an unknown kind are stored but have no effect.
/// Thread safety: reentrant.
snapshot_update apply_rows(const fleet_snapshot_ptr& current, const std::vector<table_row>& rows);

/// Returns the rows that are newer than `version`, to update a peer that has that version.
/// Thread safety: reentrant.
std::vector<table_row> rows_modified_after(const fleet_snapshot& snapshot, fleet_version version);

}  // namespace masticgrade
