#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/limits/share_settings.hpp"
#include "masticgrade/limits/token_bucket.hpp"

namespace masticgrade {

/// The version and the processes of a members list.
struct member_processes {
    fleet_version version;
    std::set<host_process> processes;
};

/// The owner's state for one customer: the ledger of all shares, the pool, and granted tokens in
/// transit.
///
/// An account is `collecting` until an upper bound of every share is known, then `complete`, and
/// `retired` when a newer members list names another owner. Only a complete account assigns shares
/// and grants tokens.
class owner_account {
public:
    enum class state { collecting, complete, retired };

    struct addressed_grant {
        host_process recipient;
        token_grant grant;
    };
    struct addressed_assignment {
        host_process recipient;
        assigned_share share;
    };

    owner_account(customer_id customer, std::uint64_t account_ordinal, fleet_version ownership,
                  const share_settings& settings, time_point now);

    void configure(double rate, double burst, time_point now);

    /// Records which processes were removed. `previous` is the list of the last call.
    void on_members(const member_processes& previous, const member_processes& current);
    /// Restarts the collection of answers under a higher ownership. A ledger that was complete
    /// stays valid, because no other owner can become complete without an answer of this process.
    void restart_collecting(fleet_version ownership, time_point now);
    /// Stops assigning shares. Keeps the ledger for the next owner if it is complete.
    void retire(fleet_version members_version);
    /// Resumes a retired ledger that was not handed over. Returns whether there is one.
    bool resume(time_point now);

    /// Processes a holder's answer or demand. Returns whether the holder is bound to a higher
    /// ownership.
    bool on_report(const host_process& holder, const held_share& share, time_point now);
    void on_handover(const share_handover& handover);
    /// Returns the ledger for the owner with the given ownership, if this account is retired and
    /// was not handed over to a different one.
    std::optional<share_handover> hand_over(fleet_version ownership, time_point now);
    /// Becomes complete if every member has answered and the shares of all other processes are
    /// known or can no longer be used. `settled` is the newest settled list (see
    /// `settled_members`).
    void try_complete(const member_processes& current, fleet_version settled, time_point now);
    /// Reclaims the shares of processes that were removed by the settled list or an earlier one.
    void reclaim(fleet_version settled, time_point now);
    /// Reclaims the share of a removed process that has confirmed that it holds nothing.
    void on_released(const host_process& holder, time_point now);

    /// Returns whether the acknowledgement completed a pending assignment.
    bool on_ack(const host_process& holder, const acknowledged_share& ack, time_point now);
    void on_token_request(const host_process& holder, const token_request& request, time_point now);
    void on_receipt(const host_process& holder, const token_receipt& receipt, time_point now);

    /// Grants queued token requests while the pool has tokens.
    std::vector<addressed_grant> grant_queued(time_point now);
    /// Computes the target share of every holder from its demand.
    void update_targets(time_point now);
    /// Returns assignments that move the shares towards their targets, and pending assignments that
    /// have to be resent.
    std::vector<addressed_assignment> rebalance(time_point now);

    [[nodiscard]] bool has_answered(const host_process& holder) const {
        return answers_.contains(holder);
    }
    /// Whether a removed process may still hold a share.
    [[nodiscard]] bool has_removed_holders() const;
    [[nodiscard]] state current_state() const noexcept { return state_; }
    [[nodiscard]] fleet_version ownership() const noexcept { return ownership_; }
    [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
    [[nodiscard]] fleet_version retired_at() const noexcept { return retired_at_; }
    [[nodiscard]] bool was_handed_over() const noexcept { return successor_ownership_.has_value(); }
    [[nodiscard]] bool has_inherited() const noexcept { return inherited_.has_value(); }
    [[nodiscard]] share_fraction pool_share() const;
    [[nodiscard]] time_point next_wake(time_point now, bool may_grant) const;

    time_point wake_at = time_point::max();
    std::uint64_t ordinal;

private:
    struct pending_assignment {
        share_fraction share;
        double tokens = 0;
        time_point sent;
    };
    struct ledger_entry {
        share_fraction acknowledged;
        std::optional<pending_assignment> pending;
        share_sequence sequence;
        share_fraction target;
        double demand = 0;
        time_point demand_time;
        /// The version of the first list without this process, if it was removed.
        std::optional<fleet_version> removed;

        /// Upper bound of the holder's share, whether or not the pending assignment was received.
        [[nodiscard]] share_fraction upper_bound() const;
    };
    struct outstanding_grant {
        fleet_version ownership;
        double tokens = 0;
        time_point expires;
    };
    struct queued_request {
        host_process holder;
        token_request request;
        time_point expires;
    };
    using grant_key = std::pair<host_process, request_number>;

    void become_complete(const member_processes& current, time_point now);
    void configure_pool(time_point now);
    [[nodiscard]] double outstanding_tokens() const;
    void drop_expired(time_point now);
    [[nodiscard]] double grantable_tokens(double requested, time_point now) const;
    addressed_grant grant(const queued_request& queued, double tokens, time_point now);
    [[nodiscard]] bool is_active(const ledger_entry& entry, time_point now) const;
    std::optional<assigned_share> next_assignment(ledger_entry& entry, share_fraction available,
                                                  time_point now);

    customer_id customer_;
    const share_settings& settings_;
    state state_ = state::collecting;
    fleet_version ownership_;
    double rate_ = 0;
    double burst_ = 0;

    std::map<host_process, share_fraction> answers_;
    std::optional<share_handover> inherited_;
    /// Processes that are not in the list of this version may hold shares that are neither reported
    /// by a member nor in an inherited ledger. Without an inherited ledger, the account becomes
    /// complete only when that list is settled.
    fleet_version unknown_shares_since_;
    fleet_version retired_at_;
    std::optional<fleet_version> successor_ownership_;
    std::optional<share_handover> handover_;

    std::map<host_process, ledger_entry> ledger_;
    token_bucket pool_;
    std::map<grant_key, outstanding_grant> outstanding_;
    std::deque<queued_request> queue_;
    time_point earliest_plan_;
};

}  // namespace masticgrade
