#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// An instance that is eligible for an operation, with the load that this host observes.
struct placement_candidate {
    instance_id instance;
    bool is_primary = false;
    bool same_domain = false;
    /// Number of this host's statements in flight on the instance.
    unsigned outstanding = 0;
    unsigned slots = 1;
    /// Moving average of the execution time of statements.
    microseconds service_time{0};
    /// Moving average of the time that operations waited for a connection from the pool owner.
    microseconds queue_time{0};
    /// Another host owns the connection pool.
    bool is_remote = false;
    /// The pool owner probably has no connection of the customer; see preferred_instances.
    bool is_avoided = false;
    /// An idle connection of the customer is available.
    bool has_free_connection = false;
    /// A connection can be opened within the pool limit.
    bool can_open = false;
    /// An idle connection of another customer can be closed to make room for a new one.
    bool can_replace = false;
};

/// Returns the instance with the lowest expected completion time among those that can start the
/// operation immediately, or nullopt if the operation has to wait.
///
/// The estimate accounts for three effects: a slow instance receives only as much work as it
/// completes as fast as the others; each connection belongs to one customer, so reusing an idle one
/// saves the connection setup time; and reads prefer replicas, unless these are considerably
/// busier, because writes can run only on the primary.
///
/// Thread safety: reentrant.
std::optional<instance_id> choose_instance(const std::vector<placement_candidate>& candidates,
                                           microseconds connection_setup);

/// The replicas that the customer's reads prefer, so that its connections are kept where they are
/// used again. Empty if every pool can keep a connection of every customer, or without replicas.
///
/// Written for more customers than an instance accepts connections: with reads spread over all
/// instances, pools close connections that are needed again soon, and opening one occupies a slot
/// as long as a statement does. All hosts rank the replicas alike, and the loss of one changes the
/// rank of no other.
///
/// Thread safety: reentrant.
std::set<instance_id> preferred_instances(const customer_id& customer,
                                          const std::vector<instance_id>& replicas,
                                          std::size_t customers, unsigned connections_per_pool);

/// Selects the idle connection that is closed to make room for another customer's, given the
/// customers of the idle connections, least recently used first. Prefers a customer that has
/// several: its second connection is needed only when two of its operations overlap.
/// Precondition: `customers` is not empty. Thread safety: reentrant.
std::size_t choose_connection_to_close(std::span<const customer_id> customers);

struct pool_owner_candidate {
    host_id host;
    failure_domain_id failure_domain;
    /// Bandwidth of the host's network link; 0 if unknown.
    unsigned link_mbps = 0;

    friend bool operator==(const pool_owner_candidate&, const pool_owner_candidate&) = default;
};

/// Chooses the host that owns an instance's connection pool and leases its connections to the other
/// hosts. Uses rendezvous hashing, so that all hosts agree and the loss of a host moves only the
/// pools that it owned. Hosts in the instance's failure domain are preferred, and among these the
/// hosts with at least half of the bandwidth of the fastest one: all statements for the instance
/// pass through the pool owner, and small hosts were overloaded by them.
/// Thread safety: reentrant.
std::optional<host_id> choose_pool_owner(const instance_id& instance,
                                         const failure_domain_id& failure_domain,
                                         const std::vector<pool_owner_candidate>& candidates);

/// Limits of a host's connection pool for one instance.
struct pool_limits {
    /// Idle connections are closed only while more than this are open.
    unsigned core_size = 1;
    /// Maximum number of open connections.
    unsigned max_size = 1;
};

/// Pool limits of the host that owns an instance's connection pool.
///
/// A connection belongs to one customer. The core size is the number of customers, so that many
/// customers with a few operations per second each don't open a connection, which occupies a slot,
/// for almost every operation. It is bounded on both sides: when a pool owner loses power, the
/// instance drops its connections only seconds later, and the new owner needs some meanwhile. The
/// maximum size is high because idle transactions hold connections.
///
/// Thread safety: reentrant.
pool_limits pool_owner_connections(unsigned max_connections, std::size_t customers);

/// Pool limits of a host that leases connections from the instance's pool owner. It keeps none of
/// those that it opened while there was no pool owner, since in a large fleet one connection of
/// each host would exceed the instance's limit. Thread safety: reentrant.
pool_limits borrower_connections();

/// Pool limits of a host for an instance that has no pool owner. Half of `max_connections` is
/// divided evenly among `hosts`, the other half by `local_load_fraction`, this host's share of all
/// operations. One connection in ten stays unassigned for joining hosts and control requests.
///
/// Load balancing and the sizes of failure domains can give some hosts twice the traffic of others,
/// and open transactions hold connections while idle. An even division alone would make a busy host
/// wait while connections elsewhere are idle; a purely proportional one would let a single host
/// take all of them.
///
/// In a fleet with more hosts than connections, a host keeps no idle connection and opens one at a
/// time.
///
/// Precondition: hosts > 0. Thread safety: reentrant.
pool_limits divide_connections(unsigned max_connections, std::size_t hosts,
                               double local_load_fraction);

}  // namespace masticgrade
