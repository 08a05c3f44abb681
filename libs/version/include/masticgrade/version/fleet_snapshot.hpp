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
    /// The version of the row that this list was decoded from.
    fleet_version version;
    std::map<host_id, member> hosts = {};
    change_marks marks = {};

    /// The number of hosts that form a majority.
    [[nodiscard]] std::size_t majority() const noexcept { return hosts.size() / 2 + 1; }
};

enum class group_phase { sealing, active };

struct group_record {
    fleet_version version;
    term_number term;
    /// Empty while the phase is `sealing`.
    instance_id primary;
    /// The log position of the first entry of this term, which the promotion appends.
    log_position start_position;
    group_phase phase = group_phase::active;
    host_id coordinator;
    /// The random identifier of the last change. A writer sets a new one and the row codec adds it
    /// to `marks`, so that a commit without a definite answer can be resolved by reading the row.
    std::string mark = {};
    change_marks marks = {};
};

/// Changes that operators made outside the configuration folder. They take precedence over it.
struct operations {
    fleet_version version;
    std::set<failure_domain_id> drained_domains;
    std::set<instance_id> drained_servers;
    std::map<customer_id, std::vector<customer_key>> added_keys;
    std::set<key_id> revoked_keys;
    /// The hashes of revoked keys, so that a later configuration cannot restore a key under a new
    /// id.
    std::set<key_hash> revoked_hashes = {};
    change_marks marks = {};
};

/// The fleet state in the store as of one version.
/// Thread safety: immutable once published through `std::shared_ptr<const fleet_snapshot>`.
struct fleet_snapshot {
    /// The highest version of all rows under `fleet/`.
    fleet_version version;
    fleet_version config_version;
    configuration config;
    operations ops;
    members hosts;
    std::map<group_id, group_record> groups;

    /// All rows as read, by key, including rows that could not be decoded. They are sent to peers
    /// that have an older version.
    std::map<std::string, std::shared_ptr<const table_row>> rows = {};

    // Derived from the fields above when the snapshot is built; see snapshot_builder.hpp.
    std::shared_ptr<const key_index> keys = {};
    /// The instances that are drained individually or through their failure domain.
    std::set<instance_id> drained_instances = {};
};

using fleet_snapshot_ptr = std::shared_ptr<const fleet_snapshot>;

}  // namespace masticgrade
