#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

using waiter_number = strong_number<struct waiter_tag>;

/// An operation that waits for a connection.
struct waiter {
    customer_id customer;
    /// It must run on the primary.
    bool needs_primary = false;
    /// It must run on this instance; empty when any will do.
    instance_id instance;
    /// It holds no time for a caller who is gone: it is turned away at this time.
    time_point deadline;
    /// Its caller's objective is met only if it starts before this time.
    time_point latest_start;
    /// 0 is the highest.
    unsigned priority = 0;
    time_point enqueued_at{};
};

/// The operations of one database group that wait on one host, in the order to serve them.
///
/// Answers this load pattern: more operations than connections for some seconds (a burst, a lost
/// instance, a promotion), some of them from one customer that sends far more than the others. The
/// customer with the fewest operations under way goes first; among the operations of a customer
/// those that can still meet their objective go before those that cannot, then by priority, then
/// the one whose time runs out first. An operation that is bound to give up before its turn comes
/// is refused on arrival: `can_be_served_in_time` tells.
///
/// Thread safety: none.
class wait_queue {
public:
    waiter_number add(waiter item);
    void remove(waiter_number number);

    /// Whether an operation that arrives now can expect its turn before it gives up, when the
    /// connections are freed at `releases_per_second`.
    [[nodiscard]] bool can_be_served_in_time(const waiter& item, time_point now,
                                             double releases_per_second) const;

    /// The order in which the waiting operations should be tried.
    [[nodiscard]] std::vector<waiter_number> order(
        time_point now, const std::map<customer_id, unsigned>& under_way) const;

    /// Whether an operation has been waiting since `moment` or longer.
    [[nodiscard]] bool has_waited_since(time_point moment) const;
    /// Whether an operation waits for the instance.
    [[nodiscard]] bool has_waiter_for(const instance_id& instance, bool is_primary) const;

private:
    std::map<waiter_number, waiter> items_;
    std::uint64_t last_number_ = 0;
};

}  // namespace masticgrade
