#pragma once

#include <cstddef>
#include <memory>

#include "masticgrade/base/time.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// Manages the limits of the customers that this process owns. It knows an upper bound of every
/// holder's share, keeps the unassigned remainder in a pool, and never lets the sum of the shares
/// exceed the limit.
/// Thread safety: none; the caller serializes all calls. `now` should not decrease.
class share_owner {
public:
    share_owner(host_process self, share_settings settings, time_point now);
    ~share_owner();
    share_owner(share_owner&&) noexcept;
    share_owner& operator=(share_owner&&) noexcept;
    share_owner(const share_owner&) = delete;
    share_owner& operator=(const share_owner&) = delete;

    /// Applies a newer configuration and members list; older ones are ignored.
    void on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out);

    /// Sets the time until which this host may start new work (section 4.5).
    void on_freshness(time_point fresh_until);

    /// Starts to hand over the ledgers during a planned shutdown. Preconditions: this process has
    /// removed itself from the members list by a change conditional on the list in use until then,
    /// and has applied the resulting snapshot. The process should keep running for several retry
    /// intervals, because lost handovers are resent.
    void on_left();

    /// Handles a message for an owner; ignores all others.
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);

    void on_timer(time_point now, share_actions& out);
    /// The time at which `on_timer` has to be called next.
    [[nodiscard]] time_point next_timer() const;

    /// Whether the ledgers of all customers that this process owns are complete. A host should not
    /// become ready before: no process could grant it tokens for these customers.
    [[nodiscard]] bool is_ready() const;
    /// Whether this process owns the customer and knows an upper bound of every share of it.
    [[nodiscard]] bool is_complete(const customer_id& customer) const;
    /// The share that is not assigned to any holder; zero unless the ledger is complete.
    [[nodiscard]] share_fraction pool(const customer_id& customer) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
