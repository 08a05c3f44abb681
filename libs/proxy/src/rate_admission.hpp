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

/// Admits statements by this host's shares of the customers' rates.
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
    /// This process has joined under a new incarnation and holds no shares any more.
    void on_joined(host_process self);
    /// This process has left the members as part of a planned stop.
    void on_left();
    void tick(time_point now);

    /// Whether every customer that this host owns can be served tokens.
    [[nodiscard]] bool is_ready() const;
    /// The parts of rate and burst that this host holds of a customer.
    [[nodiscard]] share_fraction held(const customer_id& customer) const;

private:
    using verdict = std::optional<refusal_reason>;
    using waiter = std::shared_ptr<async_result<verdict>>;

    template <class Event>
    void with_shares(Event event);
    void perform(share_actions actions);
    void settle(admission_ticket ticket, verdict result);

    share_settings settings_;
    message_sender send_;
    mutable std::mutex mutex_;
    std::unique_ptr<rate_shares> shares_;
    std::map<admission_ticket, waiter> waiters_;
};

}  // namespace masticgrade
