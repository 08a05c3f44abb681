#pragma once

#include <memory>
#include <variant>

#include "masticgrade/base/time.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

struct admitted {};

/// The statement waits for a token. An action with this ticket follows within `max_token_wait`.
struct waiting {
    admission_ticket ticket;
};

struct refused {
    refusal_reason reason = refusal_reason::rate_exceeded;
    /// Estimated time at which a retry can succeed, for Retry-After.
    time_point retry_at;
};

using admission = std::variant<admitted, waiting, refused>;

/// Holds one process's shares of all customers' limits. Admits statements from local token buckets
/// and requests tokens from a customer's owner when its share is insufficient. Each object serves
/// one incarnation; a host that rejoins creates a new one. Thread safety: none; the caller
/// serializes all calls. `now` should not decrease.
class share_holder {
public:
    share_holder(host_process self, share_settings settings, time_point now);
    ~share_holder();
    share_holder(share_holder&&) noexcept;
    share_holder& operator=(share_holder&&) noexcept;
    share_holder(const share_holder&) = delete;
    share_holder& operator=(const share_holder&) = delete;

    /// Decides whether to admit a statement. Precondition: `now` was read immediately before the
    /// call.
    admission admit(const customer_id& customer, time_point deadline, time_point now,
                    share_actions& out);

    /// Removes a waiting statement whose caller disconnected. Does nothing if the statement was
    /// already admitted or refused.
    void cancel(const customer_id& customer, admission_ticket ticket);

    /// Applies a newer configuration and members list; older ones are ignored.
    void on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out);

    /// Sets the time until which this host may start new work (section 4.5).
    void on_freshness(time_point fresh_until);

    /// Handles a message for a holder; ignores all others.
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);

    void on_timer(time_point now, share_actions& out);
    /// The time at which `on_timer` has to be called next.
    [[nodiscard]] time_point next_timer() const;

    /// The share of a customer's limit that this host holds; for status pages and tests.
    [[nodiscard]] share_fraction held(const customer_id& customer) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
