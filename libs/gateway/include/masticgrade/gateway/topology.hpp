#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
#include "masticgrade/version/key_index.hpp"

namespace masticgrade {

/// Consistency guarantee for reads on a route.
enum class read_consistency {
    /// Reads see every commit acknowledged before the read started.
    current,
    /// Reads may miss commits acknowledged within the route's maximum staleness.
    bounded,
    /// As `bounded`, and reads also see every earlier commit of the same session.
    session,
};

/// Maps a database name to a group and sets the limits of its operations.
struct database_route {
    std::string database;
    group_id group;
    read_consistency consistency = read_consistency::current;
    milliseconds max_staleness{0};
    /// Timeout of a single statement.
    milliseconds statement_timeout{0};
    /// Target latency of a complete operation, including queueing and retries.
    milliseconds latency_objective{0};
    /// 0 is the highest priority.
    unsigned priority = 0;
    /// Callers need no key.
    bool is_public = false;
};

struct group_settings {
    group_id name;
    /// Maximum number of connections that an instance accepts, summed over all hosts.
    unsigned max_connections = 0;
    /// Number of customers that may use the group.
    std::size_t customers = 0;
    /// Operations per second that an instance accepts during warm-up, summed over all hosts; 0
    /// means no limit.
    double warmup_rate = 0;
    /// Replicas that have received a commit when it is acknowledged. 1 is safe if the configuration
    /// lacks the number: larger ones only permit more promotions, and 0 promises nothing.
    unsigned sync_replicas = 1;
};

/// One version of the operators' configuration, decoded and indexed. Immutable once published.
struct gateway_configuration {
    std::uint64_t version = 0;
    /// Digest of the document that was decoded.
    std::uint64_t digest = 0;
    std::map<std::string, database_route> routes;
    std::map<group_id, group_settings> groups;
    std::map<customer_id, rate_limit> limits;
    std::shared_ptr<const key_index> keys;
    /// Transactions idle for longer than this may be aborted.
    milliseconds transaction_idle_limit{3000};
};

/// The operators' configuration and evacuation state, as read from the store at one time.
struct control_snapshot {
    std::shared_ptr<const gateway_configuration> configuration;
    /// Failure domains whose instances must receive no new work.
    std::set<failure_domain_id> evacuated;
};

/// An instance's own registration in the store.
struct instance_entry {
    instance_id id;
    group_id group;
    endpoint_address address;
    failure_domain_id failure_domain;
    unsigned slots = 1;
    /// The instance is shutting down and must receive no new work.
    bool leaving = false;
    bool claims_primary = false;
    /// Remaining warm-up time, during which the instance is slower than usual.
    milliseconds warmup_remaining{0};
    /// Start time by the instance's own clock; distinguishes successive processes.
    std::int64_t start_time = 0;
    /// Increases with each write of the entry by the same process.
    std::int64_t sequence = 0;

    friend bool operator==(const instance_entry&, const instance_entry&) = default;
};

}  // namespace masticgrade
