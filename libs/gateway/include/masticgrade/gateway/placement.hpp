#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// One instance that may serve an operation, as this host sees it.
struct placement_candidate {
    instance_id instance;
    bool is_primary = false;
    bool same_domain = false;
    /// Statements of this host under way there.
    unsigned outstanding = 0;
    unsigned slots = 1;
    /// Smoothed time of recent statements there.
    microseconds service_time{0};
    /// Smoothed time that recent operations waited at the host that lends its connections.
    microseconds queue_time{0};
    /// A connection that is free and opened for the customer.
    bool has_free_connection = false;
    /// A connection can be opened without closing another.
    bool can_open = false;
    /// A free connection of another customer can be closed to open one.
    bool can_replace = false;
};

/// Chooses the instance with the least expected completion time among those that can take the
/// operation at once; nothing when it has to wait.
///
/// Answers these load patterns: an instance several times slower than its neighbours keeps only the
/// statements that it finishes as soon as they would; connections are scarce and belong to one
/// customer, so a warm one is worth its set-up time; a read leaves the primary to the writes, which
/// can run nowhere else, unless the replicas are clearly busier.
///
/// Thread safety: reentrant.
std::optional<instance_id> choose_instance(const std::vector<placement_candidate>& candidates,
                                           microseconds connection_setup);

struct pool_owner_candidate {
    host_id host;
    failure_domain_id failure_domain;
};

/// Chooses the host that uses an instance's connections for all by rendezvous hashing, so that
/// every host chooses alike and the loss of one moves only what it had. Hosts of the instance's own
/// failure domain go first. Thread safety: reentrant.
std::optional<host_id> choose_pool_owner(const instance_id& instance,
                                         const failure_domain_id& failure_domain,
                                         const std::vector<pool_owner_candidate>& candidates);

/// A host's part of an instance's connections.
struct pool_limits {
    /// Connections that are kept open when idle.
    unsigned core_size = 1;
    /// Connections under load.
    unsigned max_size = 1;
};

/// The connections of the host that uses an instance's connections for all. A connection belongs to
/// one customer, so that as many as there are customers are kept while they are idle, within two
/// bounds: those of a host that lost its power are dropped only seconds later, and its successor as
/// home needs some meanwhile. Many are used under load, since paused transactions hold them.
///
/// Answers this load pattern: many customers with a few operations per second each, which would
/// otherwise open a connection, and take a slot for it, with nearly every operation.
///
/// Thread safety: reentrant.
pool_limits pool_owner_connections(unsigned max_connections, std::size_t customers);

/// Divides `max_connections` by demand: half evenly over `hosts`, half by `own_part`, the part of
/// the operations that this host serves. One in ten is left free for hosts that join and for
/// orders.
///
/// Answers this load pattern: the balancer's hash and the failure domains' sizes give some hosts
/// twice the traffic of others, and open transactions hold connections through their pauses. A
/// fixed even part would leave a busy host waiting beside idle connections; without any part one
/// host could take them all.
///
/// Precondition: hosts > 0. Thread safety: reentrant.
pool_limits divide_connections(unsigned max_connections, std::size_t hosts, double own_part);

}  // namespace masticgrade
