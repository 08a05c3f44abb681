#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/base/types.hpp"
#include "masticgrade/version/change_marks.hpp"
#include "masticgrade/version/configuration.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

class key_index;

struct member {
    host_id id;
    endpoint_address peer_address;
    failure_domain_id failure_domain;
    incarnation_number incarnation;

    friend bool operator==(const member&, const member&) = default;
};

struct members {
    /// The version of the row that this list came from.
    fleet_version version;
    std::map<host_id, member> hosts = {};
    change_marks marks = {};

    /// The smallest number of hosts that is a majority.
    [[nodiscard]] std::size_t majority() const noexcept { return hosts.size() / 2 + 1; }
};

enum class group_phase { sealing, active };

struct group_record {
    fleet_version version;
    term_number term;
    /// Empty while the phase is `sealing`.
    instance_id primary;
    /// The position of the entry that the promotion appended, the first one of this term.
    log_position start_position;
    group_phase phase = group_phase::active;
    host_id coordinator;
    /// Identifies the last change, so that an unclear answer of the store can be resolved by
    /// reading. A writer sets a new one; the row codec then adds it to `marks`.
    std::string mark = {};
    change_marks marks = {};
};

/// What operators changed outside the configuration folder; it takes precedence over the folder.
struct operations {
    fleet_version version;
    std::set<failure_domain_id> drained_domains;
    std::set<instance_id> drained_servers;
    std::map<customer_id, std::vector<customer_key>> added_keys;
    std::set<key_id> revoked_keys;
    /// The hashes of revoked keys, so that a later folder cannot list the same key under a new id.
    std::set<key_hash> revoked_hashes = {};
    change_marks marks = {};
};

/// Everything the store says about the fleet at one version.
/// Thread safety: immutable once published through `std::shared_ptr<const fleet_snapshot>`.
struct fleet_snapshot {
    /// The highest version of all rows under `fleet/`.
    fleet_version version;
    fleet_version config_version;
    configuration config;
    operations ops;
    members hosts;
    std::map<group_id, group_record> groups;

    /// Every row as it was read, by key, including rows that could not be decoded. Peers that lag
    /// behind are served from here.
    std::map<std::string, std::shared_ptr<const table_row>> rows = {};

    // Derived from the fields above when the snapshot is built; see snapshot_builder.hpp.
    std::shared_ptr<const key_index> keys = {};
    /// All instances that are drained, by name or with their failure domain.
    std::set<instance_id> drained_instances = {};
};

using fleet_snapshot_ptr = std::shared_ptr<const fleet_snapshot>;

}  // namespace masticgrade
