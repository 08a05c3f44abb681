#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

using waiter_number = strong_number<struct waiter_tag>;

/// An operation waiting for a connection.
struct waiter {
    customer_id customer;
    /// The operation must run on the primary.
    bool needs_primary = false;
    /// The instance that the operation must run on; empty if any instance is suitable.
    instance_id instance;
    /// The wait ends unsuccessfully at this time.
    time_point deadline;
    /// The operation meets its latency objective only if it starts before this time.
    time_point latest_start;
    /// 0 is the highest priority.
    unsigned priority = 0;
    time_point enqueued_at{};
};

/// The operations that wait on this host for connections to one database group, and the order in
/// which to serve them.
///
/// Operations that can still meet their latency objective are served first, then those of the
/// customer with the fewest operations in flight, then by priority and deadline. A customer that
/// sends far more than the others therefore can't starve them when demand exceeds the available
/// connections, as in a burst, after the loss of an instance or during a promotion. Operations that
/// would reach their deadline in the queue can be refused on arrival; see `can_be_served_in_time`.
///
/// Thread safety: none.
class wait_queue {
public:
    waiter_number add(waiter item);
    void remove(waiter_number number);

    /// Whether an operation that arrives now would be served before its deadline if connections are
    /// released at the rate `releases_per_second`.
    [[nodiscard]] bool can_be_served_in_time(const waiter& item, time_point now,
                                             double releases_per_second) const;

    /// The waiting operations in the order in which to serve them.
    [[nodiscard]] std::vector<waiter_number> order(
        time_point now, const std::map<customer_id, unsigned>& in_flight) const;

    /// Whether any operation has been waiting since `moment` or before.
    [[nodiscard]] bool has_waited_since(time_point moment) const;
    /// Whether any operation could run on the instance.
    [[nodiscard]] bool has_waiter_for(const instance_id& instance, bool is_primary) const;

private:
    std::map<waiter_number, waiter> items_;
    std::uint64_t last_number_ = 0;
};

}  // namespace masticgrade
