#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/limits/token_bucket.hpp"

namespace masticgrade {

/// What one holder knows about one customer: its share, the statements that wait, and the token
/// requests that are under way.
class holder_account {
public:
    holder_account(customer_id customer, std::uint64_t account_ordinal,
                   const share_settings& settings, time_point now);

    struct waiter {
        admission_ticket ticket;
        time_point limit;
    };
    struct open_request {
        request_number number;
        double tokens = 0;
        time_point first_sent;
        time_point last_sent;
    };

    /// Sets the customer's configured rate and burst; zero for a customer that does not exist.
    void configure(double rate, double burst, time_point now);
    /// Sets the share without any order of messages; for the static split and a removed host.
    void set_share(share_fraction share, time_point now);

    /// Binds the account to an ownership, so that messages of lower ones have no effect.
    void bind(fleet_version ownership);
    /// Applies an assignment unless it is outdated. Returns the acknowledgement to send, if any.
    std::optional<acknowledged_share> apply(const assigned_share& assigned, time_point now);

    /// Takes a token when no other statement waits for one.
    bool try_take(time_point now);
    [[nodiscard]] bool has_room() const;
    void add_waiter(const waiter& statement) { waiters_.push_back(statement); }
    bool remove_waiter(admission_ticket ticket);
    /// Admits the statements at the front for which there are tokens; `extra` tokens come first
    /// and what is left of them goes to the bucket.
    void admit_waiters(double extra, time_point now, share_actions& out);
    void refuse_expired(time_point now, share_actions& out);
    void refuse_all(refusal_reason reason, share_actions& out);

    /// The token request to send for the statements that wait, if one is due.
    std::optional<token_request> next_request(request_number number, time_point now);
    /// Requests without an answer that are due to be sent again.
    std::vector<token_request> repeated_requests(time_point now);
    /// Ends the request. Returns whether its grant may still be used.
    bool close_request(const token_grant& grant, time_point now);

    void count_demand() { ++asked_; }
    /// Averages the demand over the time since the last call. Returns whether to report it.
    bool measure_demand(time_point now);

    [[nodiscard]] held_share report() const;
    [[nodiscard]] time_point next_wake(time_point now) const;
    [[nodiscard]] time_point retry_at(time_point now) const;
    [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
    [[nodiscard]] share_fraction held() const noexcept { return held_; }
    [[nodiscard]] double burst() const noexcept { return burst_; }

    /// The owner according to the members list in use.
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
    fleet_version bound_;
    share_sequence applied_;
    double last_returned_ = 0;
    token_bucket bucket_;
    std::deque<waiter> waiters_;
    std::vector<open_request> requests_;
    std::uint64_t asked_ = 0;
    double demand_ = 0;
    double reported_demand_ = 0;
    time_point measured_;
};

}  // namespace masticgrade
