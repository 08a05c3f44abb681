#include "masticgrade/version/snapshot_builder.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/version/key_index.hpp"
#include "masticgrade/version/row_codec.hpp"

namespace masticgrade {

namespace {

bool is_newer(const fleet_snapshot& snapshot, const table_row& row) {
    const auto known = snapshot.rows.find(row.key);
    return known == snapshot.rows.end() ? row.version > fleet_version{}
                                        : row.version > known->second->version;
}

/// Replaces the snapshot fields that are decoded from a row. Throws masticgrade::error and leaves
/// the snapshot unchanged if the row cannot be decoded.
void replace_content(fleet_snapshot& snapshot, const table_row& row) {
    if (row.key == config_row_key) {
        snapshot.config = decode_config_row(row).document;
        snapshot.config_version = row.version;
    } else if (row.key == operations_row_key) {
        snapshot.ops = decode_operations_row(row);
    } else if (row.key == members_row_key) {
        snapshot.hosts = decode_members_row(row);
    } else if (const auto group = group_from_row_key(row.key)) {
        snapshot.groups.insert_or_assign(*group, decode_group_row(row));
    }
}

std::set<instance_id> find_drained_instances(const fleet_snapshot& snapshot) {
    auto drained = snapshot.ops.drained_servers;
    for (const auto& [name, group] : snapshot.config.groups) {
        for (const auto& instance : group.instances) {
            if (snapshot.ops.drained_domains.contains(instance.failure_domain)) {
                drained.insert(instance.id);
            }
        }
    }
    return drained;
}

}  // namespace

fleet_snapshot_ptr finalize_snapshot(fleet_snapshot snapshot) {
    snapshot.keys = std::make_shared<const key_index>(snapshot.config, snapshot.ops);
    snapshot.drained_instances = find_drained_instances(snapshot);
    return std::make_shared<const fleet_snapshot>(std::move(snapshot));
}

snapshot_update apply_rows(const fleet_snapshot_ptr& current, const std::vector<table_row>& rows) {
    snapshot_update update{current == nullptr ? finalize_snapshot({}) : current, {}};
    const auto is_relevant = [&](const table_row& row) {
        return row.key.starts_with(fleet_prefix) && is_newer(*update.snapshot, row);
    };
    if (std::none_of(rows.begin(), rows.end(), is_relevant)) {
        return update;
    }
    const auto before = update.snapshot;
    fleet_snapshot next = *before;
    for (const auto& row : rows) {
        if (!row.key.starts_with(fleet_prefix) || !is_newer(next, row)) {
            continue;
        }
        try {
            replace_content(next, row);
        } catch (const error& failure) {
            update.rejected.push_back({row.key, row.version, failure.reason()});
        }
        next.rows.insert_or_assign(row.key, std::make_shared<const table_row>(row));
        next.version = std::max(next.version, row.version);
    }
    MG_INVARIANT("snapshot versions only rise", next.version >= before->version,
                 fmt::format("before={} next={}", before->version, next.version));
    update.snapshot = finalize_snapshot(std::move(next));
    return update;
}

std::vector<table_row> rows_modified_after(const fleet_snapshot& snapshot, fleet_version version) {
    std::vector<table_row> rows;
    for (const auto& [key, row] : snapshot.rows) {
        if (row->version > version) {
            rows.push_back(*row);
        }
    }
    return rows;
}

}  // namespace masticgrade
