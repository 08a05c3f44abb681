#pragma once

#include "masticgrade/limits/share_holder.hpp"
#include "masticgrade/limits/share_owner.hpp"

namespace masticgrade {

/// Combines the share holder and the share owner of one process. Every event reaches the owner
/// first: a holder's reply to a query therefore proves that the owner of its process has applied
/// the same members list. Messages to the process itself are delivered immediately and are not
/// among the returned actions. Thread safety: none; the caller serializes all calls. `now` should
/// not decrease.
class rate_shares {
public:
    rate_shares(host_process self, share_settings settings, time_point now);

    admission admit(const customer_id& customer, time_point deadline, time_point now,
                    share_actions& out);
    void cancel(const customer_id& customer, admission_ticket ticket) {
        holder_.cancel(customer, ticket);
    }
    void on_snapshot(const fleet_snapshot_ptr& snapshot, time_point now, share_actions& out);
    void on_freshness(time_point fresh_until);
    void on_left() { owner_.on_left(); }
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);
    void on_timer(time_point now, share_actions& out);
    [[nodiscard]] time_point next_timer() const;

    [[nodiscard]] const share_holder& holder() const noexcept { return holder_; }
    [[nodiscard]] const share_owner& owner() const noexcept { return owner_; }

private:
    /// Delivers the messages to this process that are among the actions from index `first` on.
    void deliver_own(std::size_t first, time_point now, share_actions& out);

    host_process self_;
    share_owner owner_;
    share_holder holder_;
};

}  // namespace masticgrade
