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

/// How current the data must be that a route's reads return.
enum class read_consistency {
    /// Every commit acknowledged before the read.
    current,
    /// Every commit acknowledged longer ago than the route's staleness.
    bounded,
    /// As bounded, and every commit of the same session.
    session,
};

/// What callers reach under one database name.
struct database_route {
    std::string database;
    group_id group;
    read_consistency consistency = read_consistency::current;
    milliseconds max_staleness{0};
    /// Limit of one statement.
    milliseconds statement_timeout{0};
    /// Aim for a whole operation.
    milliseconds latency_objective{0};
    /// 0 is the highest.
    unsigned priority = 0;
    /// Whether callers need no key.
    bool is_public = false;
};

struct group_settings {
    group_id name;
    /// Connections that one instance accepts from all hosts together.
    unsigned max_connections = 0;
    /// Customers whose operations may reach the group.
    std::size_t customers = 0;
    /// Operations per second that a cold instance takes from all hosts together; 0 means no limit.
    double warmup_rate = 0;
};

/// One version of what operators have set, decoded and indexed. Immutable once published.
struct gateway_configuration {
    std::uint64_t version = 0;
    std::map<std::string, database_route> routes;
    std::map<group_id, group_settings> groups;
    std::map<customer_id, rate_limit> limits;
    std::shared_ptr<const key_index> keys;
    /// A transaction that stays idle for this long may be ended.
    milliseconds transaction_idle_limit{3000};
};

/// One reading of the operators' rows.
struct control_snapshot {
    std::shared_ptr<const gateway_configuration> configuration;
    /// Failure domains whose instances must get nothing new.
    std::set<failure_domain_id> evacuated;
};

/// What an instance says of itself in the store.
struct instance_entry {
    instance_id id;
    group_id group;
    endpoint_address address;
    failure_domain_id failure_domain;
    unsigned slots = 1;
    /// It ends soon and must get nothing new.
    bool leaving = false;
    bool claims_primary = false;
    /// How much longer it runs slowly after its start.
    milliseconds warmup_remaining{0};
    /// The time of its start by the instance's own clock, which tells successive processes apart.
    std::int64_t start_time = 0;

    friend bool operator==(const instance_entry&, const instance_entry&) = default;
};

}  // namespace masticgrade
