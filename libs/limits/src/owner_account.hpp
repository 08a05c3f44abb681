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

/// The members list as the owner side needs it.
struct member_processes {
    fleet_version version;
    std::set<host_process> processes;
};

/// One customer at its owner: the ledger of all shares, the pool, and granted tokens under way.
///
/// An account is `collecting` until an upper bound of every share is known, then `complete`, and
/// `retired` once a newer members list names another owner. Only a complete account assigns.
class owner_account {
public:
    enum class state { collecting, complete, retired };

    struct granted {
        host_process recipient;
        token_grant grant;
    };
    struct assigned {
        host_process recipient;
        assigned_share share;
    };

    owner_account(customer_id customer, std::uint64_t account_ordinal, fleet_version ownership,
                  const share_settings& settings, time_point now);

    void configure(double rate, double burst, time_point now);

    /// Records who left. `previous` is the list that the account was last told about.
    void on_members(const member_processes& previous, const member_processes& current);
    /// Asks every member again under a higher ownership. A ledger that was complete stays valid,
    /// because no other owner can become complete without an answer of this process.
    void restart_collecting(fleet_version ownership, time_point now);
    /// Stops assigning and keeps the ledger, if it is complete, for the next owner.
    void retire(fleet_version list);
    /// Resumes a retired ledger that nobody asked for. Returns whether there is one.
    bool resume(time_point now);

    /// A holder's answer or demand. Returns whether a higher ownership than this was seen.
    bool on_report(const host_process& holder, const held_share& share, time_point now);
    void on_handover(const share_handover& handover);
    /// The ledger for the owner with the given ownership, if this account is retired and has not
    /// been given to another.
    std::optional<share_handover> hand_over(fleet_version ownership, time_point now);
    /// Becomes complete if every member has answered, and what others may hold is known or too
    /// old to be used. `settled` is the newest list that nobody unaware of it can outlive.
    void try_complete(const member_processes& current, fleet_version settled, time_point now);
    /// Takes back the shares of processes removed up to the settled list.
    void reclaim(fleet_version settled, time_point now);
    /// A removed process has confirmed that it holds nothing.
    void on_released(const host_process& holder, time_point now);

    /// Returns whether the acknowledgement ended an open assignment.
    bool on_ack(const host_process& holder, const acknowledged_share& ack, time_point now);
    void on_token_request(const host_process& holder, const token_request& request, time_point now);
    void on_receipt(const host_process& holder, const token_receipt& receipt, time_point now);

    /// Grants queued requests as far as there are tokens.
    std::vector<granted> serve(time_point now);
    /// Computes where the shares should go.
    void plan(time_point now);
    /// Assignments that move the shares towards the plan, and those to be sent again.
    std::vector<assigned> rebalance(time_point now);

    [[nodiscard]] bool has_answered(const host_process& holder) const {
        return answers_.contains(holder);
    }
    /// Whether a process that left may still hold a share.
    [[nodiscard]] bool awaits_removed() const;
    [[nodiscard]] state current_state() const noexcept { return state_; }
    [[nodiscard]] fleet_version ownership() const noexcept { return ownership_; }
    [[nodiscard]] const customer_id& customer() const noexcept { return customer_; }
    [[nodiscard]] fleet_version retired_at() const noexcept { return retired_at_; }
    [[nodiscard]] bool was_handed_over() const noexcept { return handed_to_.has_value(); }
    [[nodiscard]] bool has_inherited() const noexcept { return inherited_.has_value(); }
    [[nodiscard]] share_fraction pool_share() const;
    [[nodiscard]] time_point next_wake(time_point now, bool may_grant) const;

    time_point wake_at = time_point::max();
    std::uint64_t ordinal;

private:
    struct open_assignment {
        share_fraction share;
        double tokens = 0;
        time_point sent;
    };
    struct ledger_entry {
        share_fraction acknowledged;
        std::optional<open_assignment> open;
        share_sequence sequence;
        share_fraction target;
        double demand = 0;
        time_point demand_time;
        /// The list without this process, once there is one.
        std::optional<fleet_version> removed;

        /// The most that the holder may have, whichever messages arrived.
        [[nodiscard]] share_fraction upper() const;
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
    [[nodiscard]] double grantable(double asked, time_point now) const;
    granted grant(const queued_request& queued, double tokens, time_point now);
    [[nodiscard]] bool is_active(const ledger_entry& entry, time_point now) const;
    std::optional<assigned_share> change(ledger_entry& entry, share_fraction available,
                                         time_point now);

    customer_id customer_;
    const share_settings& settings_;
    state state_ = state::collecting;
    fleet_version ownership_;
    double rate_ = 0;
    double burst_ = 0;

    std::map<host_process, share_fraction> answers_;
    std::optional<share_handover> inherited_;
    /// Shares may exist that no member and no inherited ledger names, held by processes that are
    /// not in this list.
    fleet_version unknown_since_;
    fleet_version retired_at_;
    std::optional<fleet_version> handed_to_;
    std::optional<share_handover> handed_;

    std::map<host_process, ledger_entry> ledger_;
    token_bucket pool_;
    std::map<grant_key, outstanding_grant> outstanding_;
    std::deque<queued_request> queue_;
    time_point first_plan_;
};

}  // namespace masticgrade
