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
    /// Mean time between two gossip rounds, with a jitter of 20%.
    milliseconds exchange_interval{500};
    std::size_t exchange_peers = 3;
    /// Above this number of members, a host exchanges with only `steady_exchange_peers` while the
    /// store answers: the store then proves the version, and 3 peers would exceed the bandwidth
    /// budget at 550 members.
    std::size_t small_fleet_size = 50;
    std::size_t steady_exchange_peers = 1;
    /// The store counts as unavailable after this time without an answer. Longer than one poll
    /// interval with jitter, and short enough to collect member proofs before the last store proof
    /// expires.
    milliseconds store_timeout{1500};
    /// Peers per round, and the interval, of a host that verifies whether a member has failed.
    std::size_t fast_exchange_peers = 16;
    milliseconds fast_exchange_interval{250};
    /// A member that a majority has not heard from for this long is removed.
    milliseconds failure_timeout{2000};
    /// Additional delay before a removal for each reachable candidate that ranks higher.
    milliseconds candidate_delay{600};
    /// Backoff before a removed host rejoins. It doubles with each removal up to the maximum; the
    /// actual delay is drawn from the upper half of it.
    milliseconds min_rejoin_backoff{1000};
    milliseconds max_rejoin_backoff{60000};
    /// Removals of one host within this time count as flapping and raise its failure timeout.
    milliseconds flapping_window{120000};
    /// A proposed change without a result after this time has an unknown outcome.
    milliseconds change_timeout{2000};
};

/// Action: send an exchange request to this member and report the reply or the failure.
struct send_exchange {
    host_id peer;
    endpoint_address address;
};

enum class members_change_kind { join, replace_own_incarnation, remove, leave };

/// Action: commit this list to the store if the row still has version `based_on`, and report the
/// outcome.
struct change_members {
    members_change_kind kind = members_change_kind::join;
    fleet_version based_on;
    /// The proposed list, with the version of the row that it replaces.
    members proposed;
};

/// Builds the store commit of a proposed change. Precondition: `mark` is not empty.
/// Thread safety: reentrant.
table_commit make_commit(const change_members& change, std::string mark);

using membership_action = std::variant<send_exchange, change_members>;

/// The state of the sender's applied member list, sent in exchange replies.
struct list_report {
    /// Whether the list's acceptance quorum is known to have applied it.
    bool settled = false;
    /// Bitmap of the members known to have applied it, least significant bit first; empty if
    /// settled.
    std::vector<std::uint8_t> applied = {};
    /// Positions of the members that the sender failed to reach directly.
    std::vector<std::uint16_t> unreachable = {};
};

/// Decides when this host joins, which peers it gossips with, and which members it removes.
///
/// A change that adds or removes hosts is proposed only when the current list is settled (applied
/// by its acceptance quorum); design 4.5 shows why freshness depends on this. A process that
/// replaces the incarnation of its predecessor on the same host needs no settled list, because the
/// predecessor has ended; this lets a fleet recover after all of its processes restart at once.
/// Thread safety: none.
class membership {
public:
    /// `self.incarnation` is ignored; incarnations are drawn from `random`.
    membership(member self, membership_settings settings, std::mt19937_64 random, time_point now);

    /// This host with its current incarnation, which changes after a removal.
    [[nodiscard]] host_incarnation self() const { return {self_.id, self_.incarnation}; }
    [[nodiscard]] bool joined() const;
    /// Whether a newer process uses this host's id. This process then never rejoins.
    [[nodiscard]] bool superseded() const noexcept { return superseded_; }
    [[nodiscard]] bool settled() const noexcept { return settled_; }
    /// Whether the host was heard from within the failure timeout, directly or through peers.
    [[nodiscard]] bool reachable(const host_id& id, time_point now) const;

    /// Precondition: `list` is not older than the previously applied list.
    void on_list_applied(const members& list, time_point now);
    void on_exchange_answer(const exchange_answer& answer, const list_report& report,
                            time_point now);
    void on_exchange_failed(const host_id& peer, time_point now);
    /// Records that the store answered a poll.
    void on_store_answered(time_point now) { store_answered_at_ = now; }
    /// Records a request or a one-way message from another host.
    void on_message_received(const host_incarnation& sender, fleet_version members_version,
                             time_point now);
    /// Reports the outcome of a `change_members` action; false after a conflict or without a
    /// result.
    void on_change_finished(bool committed, time_point now);
    /// Starts leaving the fleet: this host proposes its own removal from now on.
    void leave() noexcept { leaving_ = true; }

    /// Precondition: called about every 100 ms with non-decreasing times.
    std::vector<membership_action> tick(time_point now);

    /// The member list state for replies to peers.
    [[nodiscard]] list_report report() const;

private:
    struct member_state {
        time_point listed_at;
        /// When the member was last heard from, directly or through peers.
        time_point last_heard_at = time_point::min();
        /// The time up to which this host knows which members this member had heard from. Only
        /// exchange replies carry that; a request shows only that its sender is alive.
        time_point view_known_at = time_point::min();
        time_point last_request_at = time_point::min();
        /// When a direct exchange with the member last failed.
        time_point last_failure_at = time_point::min();
        /// When a peer last reported that it failed to reach the member.
        time_point last_report_at = time_point::min();
        bool applied_list = false;

        [[nodiscard]] time_point last_seen() const { return std::max(last_heard_at, listed_at); }
        [[nodiscard]] bool unreachable() const { return last_failure_at > last_seen(); }
        [[nodiscard]] bool reported() const { return last_report_at > last_seen(); }
    };
    struct removal_history {
        unsigned count = 0;
        time_point last;
    };

    void record_removals(const members& list, time_point now);
    void choose_incarnation();
    void handle_own_removal(time_point now);
    void record_alive(std::size_t position, time_point at);
    void record_reply(std::size_t position, time_point at);
    void update_settled();
    [[nodiscard]] const member& member_at(std::size_t position) const;
    [[nodiscard]] milliseconds failure_timeout(const host_id& id, time_point now) const;
    [[nodiscard]] time_point majority_view_known_at(time_point now) const;
    [[nodiscard]] std::vector<std::size_t> failed_members(time_point now) const;
    [[nodiscard]] std::optional<std::size_t> reachable_candidates_before_self(time_point now) const;
    [[nodiscard]] bool needs_fast_exchanges(time_point now) const;
    [[nodiscard]] bool is_steady_state(time_point now) const;
    void add_gossip_exchanges(time_point now, std::vector<membership_action>& actions);
    void add_suspect_probes(time_point now, std::vector<membership_action>& actions);
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
    /// Indexed by position in the current list.
    std::vector<member_state> states_;
    /// The hosts that may remove members of the current list, in order of precedence.
    std::vector<host_id> candidates_;
    std::map<host_id, removal_history> removals_;
    bool list_known_ = false;
    bool settled_ = false;

    time_point next_exchange_;
    time_point store_answered_at_ = time_point::min();
    std::optional<time_point> failure_detected_at_;
    /// When the outcome of the pending change becomes unknown; empty without a pending change.
    std::optional<time_point> change_deadline_;
    time_point propose_at_;
    milliseconds rejoin_backoff_;
    std::optional<time_point> joined_at_;
    bool superseded_ = false;
    bool leaving_ = false;
};

}  // namespace masticgrade
