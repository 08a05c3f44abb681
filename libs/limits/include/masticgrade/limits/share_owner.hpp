#pragma once

#include <cstddef>
#include <memory>

#include "masticgrade/base/time.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// The owner side of the customers that this process owns: it knows an upper bound of every share,
/// keeps what is not assigned in a pool, and never lets the sum exceed the whole.
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

    /// Hands the ledgers over after a planned stop. Preconditions: this process has removed itself
    /// from the members by a change that required the list in use until then, and has applied the
    /// resulting snapshot. The process should stay for some retry intervals.
    void on_left();

    /// Handles a message meant for an owner; ignores all others.
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);

    void on_timer(time_point now, share_actions& out);
    /// When `on_timer` has to be called next.
    [[nodiscard]] time_point next_timer() const;

    /// Whether every customer that this process owns is complete. A host should only become ready
    /// then: before, nobody can give it tokens for these customers.
    [[nodiscard]] bool is_ready() const;
    /// Whether this process owns the customer and knows an upper bound of every share of it.
    [[nodiscard]] bool is_complete(const customer_id& customer) const;
    /// The part of rate and burst that is not assigned to any holder; zero unless complete.
    [[nodiscard]] share_fraction pool(const customer_id& customer) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
