#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/limits/token_bucket.hpp"

namespace masticgrade {

/// A holder's state for one customer: its share, the waiting statements and the pending token
/// requests.
class holder_account {
public:
    holder_account(customer_id customer, std::uint64_t account_ordinal,
                   const share_settings& settings, time_point now);

    struct waiter {
        admission_ticket ticket;
        time_point expires;
    };
    struct pending_request {
        request_number number;
        double tokens = 0;
        time_point first_sent;
        time_point last_sent;
    };

    /// Sets the customer's configured rate and burst; zero if the customer is not configured.
    void configure(double rate, double burst, time_point now);
    /// Sets the share without an assignment; for the static split and for a removed host.
    void set_share(share_fraction share, time_point now);

    /// Binds the account to an ownership, so that messages of lower ownerships are ignored.
    void bind(fleet_version ownership);
    /// Applies an assignment unless it is outdated. Returns the acknowledgement to send, or nothing
    /// for an outdated assignment.
    std::optional<acknowledged_share> apply(const assigned_share& assigned, time_point now);

    /// Takes a token if one is available and no statement is waiting.
    bool try_take(time_point now);
    [[nodiscard]] bool has_queue_capacity() const;
    void add_waiter(const waiter& statement) { waiters_.push_back(statement); }
    bool remove_waiter(admission_ticket ticket);
    /// Admits waiting statements in order while there are tokens. Uses `granted_tokens` first and
    /// adds the remainder to the bucket.
    void admit_waiters(double granted_tokens, time_point now, share_actions& out);
    void refuse_expired(time_point now, share_actions& out);
    void refuse_all(refusal_reason reason, share_actions& out);

    /// Creates a token request for the waiting statements, if one is needed.
    std::optional<token_request> next_request(request_number number, time_point now);
    /// Unanswered requests that have to be resent now.
    std::vector<token_request> requests_to_resend(time_point now);
    /// Removes the request that the grant answers. Returns whether the grant may still be used.
    bool close_request(const token_grant& grant, time_point now);

    void count_demand() { ++requested_; }
    /// Updates the average demand with the statements since the last call. Returns whether to
    /// report it.
    bool measure_demand(time_point now);

    [[nodiscard]] held_share report() const;
    [[nodiscard]] time_point next_wake(time_point now) const;
    [[nodiscard]] time_point retry_at(time_point now) const;
    [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
    [[nodiscard]] share_fraction held() const noexcept { return held_; }
    [[nodiscard]] double burst() const noexcept { return burst_; }

    /// The owner according to the current members list.
    host_process owner;
    time_point wake_at = time_point::max();
    std::uint64_t ordinal;

private:
    void configure_bucket(time_point now);

    customer_id customer_;
    const share_settings& settings_;
    double rate_ = 0;
    double burst_ = 0;
    share_fraction held_;
    fleet_version bound_ownership_;
    share_sequence applied_sequence_;
    double returned_tokens_ = 0;
    token_bucket bucket_;
    std::deque<waiter> waiters_;
    std::vector<pending_request> requests_;
    std::uint64_t requested_ = 0;
    double demand_ = 0;
    double reported_demand_ = 0;
    time_point demand_measured_at_;
};

}  // namespace masticgrade
