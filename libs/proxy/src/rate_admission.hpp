#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "admission_control.hpp"
#include "masticgrade/limits/rate_shares.hpp"
#include "masticgrade/net/async_result.hpp"

namespace masticgrade {

/// Admits statements according to this host's shares of the customers' rate limits.
/// Thread safety: all members may be called from any thread; one lock guards the shares and is not
/// held while messages are sent.
class rate_admission final : public admission_control {
public:
    using message_sender = std::function<void(share_envelope)>;

    rate_admission(host_process self, share_settings settings, message_sender send);

    boost::asio::awaitable<std::optional<outcome>> admit(customer_id customer,
                                                         time_point deadline) override;

    void on_snapshot(const fleet_snapshot_ptr& snapshot);
    void on_freshness(time_point fresh_until);
    void on_message(const share_envelope& envelope);
    /// Called when this process has joined under a new incarnation; drops all shares.
    void on_joined(host_process self);
    /// Called when this process has left the fleet as part of a planned stop.
    void on_left();
    void tick(time_point now);

    /// Whether this host can grant tokens for every customer that it owns.
    [[nodiscard]] bool is_ready() const;
    /// The fractions of the customer's rate and burst assigned to this host.
    [[nodiscard]] share_fraction held_share(const customer_id& customer) const;

private:
    using admission_result = std::optional<refusal_reason>;
    using waiter = std::shared_ptr<async_result<admission_result>>;

    template <class Event>
    void with_shares(Event event);
    void perform(share_actions actions);
    void complete(admission_ticket ticket, admission_result result);

    share_settings settings_;
    message_sender send_;
    mutable std::mutex mutex_;
    std::unique_ptr<rate_shares> shares_;
    std::map<admission_ticket, waiter> waiters_;
};

}  // namespace masticgrade
