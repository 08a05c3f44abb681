#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/process/freshness.hpp"
#include "masticgrade/process/member_list_history.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

struct membership_settings {
    /// Mean time between two rounds of exchanges; each pause varies by 20%.
    milliseconds exchange_interval{500};
    std::size_t exchange_peers = 3;
    /// Above this number of members a host asks only `steady_exchange_peers` while the store
    /// answers: the store then proves the version, and 3 peers exceed the bandwidth budget at 550
    /// members.
    std::size_t small_fleet_size = 50;
    std::size_t steady_exchange_peers = 1;
    /// The store counts as silent after this time without an answer. Late enough for one poll with
    /// jitter, early enough to gather member proofs before the last store proof expires.
    milliseconds store_timeout{1500};
    /// Peers of a host that has to find out whether a member is dead, and its interval.
    std::size_t probe_peers = 16;
    milliseconds probe_interval{250};
    /// A member that a majority has not heard of for this long is removed.
    milliseconds failure_timeout{2000};
    /// How much longer each reachable candidate after the first waits before it removes a member.
    milliseconds candidate_delay{600};
    /// Pause before a removed host joins again. It doubles with each removal up to the limit, and
    /// each pause is drawn from half of it to all of it.
    milliseconds min_rejoin_backoff{1000};
    milliseconds max_rejoin_backoff{60000};
    /// Removals of one host within this time count as flapping and raise its silence limit.
    milliseconds flapping_window{120000};
    /// How long a proposed change may be under way before its outcome counts as unknown.
    milliseconds change_timeout{2000};
};

/// Send an exchange request to this member and report the answer or the failure.
struct send_exchange {
    host_id peer;
    endpoint_address address;
};

enum class members_change_kind { join, replace_own_incarnation, remove, leave };

/// Commit this list to the store under the condition that the row still has `based_on`, and report
/// the outcome.
struct change_members {
    members_change_kind kind = members_change_kind::join;
    fleet_version based_on;
    /// The proposed list; its version is that of the row it replaces.
    members proposed;
};

/// The commit for a proposed change. Precondition: `mark` is not empty. Thread safety: reentrant.
table_commit make_commit(const change_members& change, std::string mark);

using membership_action = std::variant<send_exchange, change_members>;

/// What an exchange reply says about the members list, for the list that the sender has applied.
struct list_report {
    /// Whether the acceptance quorum of that list is known to have applied it.
    bool settled = false;
    /// Bit per member (least significant first) that is known to have applied it; empty if settled.
    std::vector<std::uint8_t> applied = {};
    /// Positions of the members that the sender itself failed to reach.
    std::vector<std::uint16_t> unreachable = {};
};

/// Decides when this host joins, whom it exchanges versions with, and which members it removes.
///
/// A change that adds or removes ids is proposed only once the present list is settled (applied by
/// its acceptance quorum); design 4.5 shows why freshness depends on this. A process that replaces
/// the incarnation of its own predecessor needs no settled list, because the predecessor has ended;
/// a fleet that restarts as a whole therefore recovers. Thread safety: none.
class membership {
public:
    /// `self.incarnation` is ignored; the module draws incarnations from `random`.
    membership(member self, membership_settings settings, std::mt19937_64 random, time_point now);

    /// This host with its present incarnation, which changes after a removal.
    [[nodiscard]] host_incarnation self() const { return {self_.id, self_.incarnation}; }
    [[nodiscard]] bool joined() const;
    /// Whether a newer process runs under this host's id. This one then stays out for good.
    [[nodiscard]] bool superseded() const noexcept { return superseded_; }
    [[nodiscard]] bool settled() const noexcept { return settled_; }
    /// Whether the host was heard of within the silence limit, directly or through others.
    [[nodiscard]] bool reachable(const host_id& id, time_point now) const;

    /// Precondition: `list` is not older than the list applied before.
    void on_list_applied(const members& list, time_point now);
    void on_exchange_answer(const exchange_answer& answer, const list_report& report,
                            time_point now);
    void on_exchange_failed(const host_id& peer, time_point now);
    /// The store answered a poll.
    void on_store_answered(time_point now) { store_answered_at_ = now; }
    /// Any request or one-way message of another host.
    void on_message_received(const host_incarnation& sender, fleet_version members_version,
                             time_point now);
    /// The outcome of a `change_members` action; false when it lost or is unclear.
    void on_change_finished(bool committed, time_point now);
    /// Starts to leave; from now on this host proposes its own removal.
    void leave() noexcept { leaving_ = true; }

    /// Precondition: called about every 100 ms with times that do not go back.
    std::vector<membership_action> tick(time_point now);

    /// For replies to other hosts.
    [[nodiscard]] list_report report() const;

private:
    struct member_state {
        time_point listed_at;
        /// The last sign of life from the member itself or through others.
        time_point heard_at = time_point::min();
        /// The time up to which this host knows what the member had heard of all others. Only
        /// exchange replies tell; a request shows no more than that its sender lives.
        time_point told_at = time_point::min();
        time_point asked_at = time_point::min();
        /// When a direct exchange last failed.
        time_point failed_at = time_point::min();
        /// When another member last reported that it failed to reach this one.
        time_point reported_at = time_point::min();
        bool applied_list = false;

        [[nodiscard]] time_point last_sign() const { return std::max(heard_at, listed_at); }
        [[nodiscard]] bool unreachable() const { return failed_at > last_sign(); }
        [[nodiscard]] bool reported() const { return reported_at > last_sign(); }
    };
    struct removal_history {
        unsigned count = 0;
        time_point last;
    };

    void note_removals(const members& list, time_point now);
    void choose_incarnation();
    void note_own_removal(time_point now);
    void add_sign(std::size_t position, time_point at);
    void add_reply(std::size_t position, time_point at);
    void update_settled();
    [[nodiscard]] const member& member_at(std::size_t position) const;
    [[nodiscard]] milliseconds failure_timeout(const host_id& id, time_point now) const;
    [[nodiscard]] time_point majority_told_at(time_point now) const;
    [[nodiscard]] std::vector<std::size_t> silent_members(time_point now) const;
    [[nodiscard]] std::optional<std::size_t> reachable_candidates_ahead(time_point now) const;
    [[nodiscard]] bool is_search_needed(time_point now) const;
    [[nodiscard]] bool is_calm(time_point now) const;
    void add_random_exchanges(time_point now, std::vector<membership_action>& actions);
    void add_suspect_exchanges(time_point now, std::vector<membership_action>& actions);
    void add_exchange(std::size_t position, time_point now,
                      std::vector<membership_action>& actions);
    [[nodiscard]] bool may_propose(time_point now) const;
    std::optional<change_members> propose_own_change(time_point now);
    std::optional<change_members> propose_removal(time_point now);
    milliseconds jittered(milliseconds limit);

    member self_;
    membership_settings settings_;
    std::mt19937_64 random_;

    members list_;
    member_list_history lists_;
    /// By position in the current list.
    std::vector<member_state> states_;
    /// Hosts in the order in which they may remove members of the current list.
    std::vector<host_id> candidates_;
    std::map<host_id, removal_history> removals_;
    bool list_known_ = false;
    bool settled_ = false;

    time_point next_exchange_;
    time_point store_answered_at_ = time_point::min();
    std::optional<time_point> silent_since_;
    /// While a proposed change is under way: when its outcome counts as unknown.
    std::optional<time_point> change_deadline_;
    time_point propose_at_;
    milliseconds rejoin_backoff_;
    std::optional<time_point> joined_at_;
    bool superseded_ = false;
    bool leaving_ = false;
};

}  // namespace masticgrade
