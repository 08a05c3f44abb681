#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/failover/instance_state.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

struct promotion_settings {
    /// Unanswered requests to instances and to the store are repeated after this long.
    milliseconds instance_retry_interval{150};
    milliseconds store_retry_interval{300};
    /// Wait before a commit is repeated after the row was found unchanged, so that a store that
    /// fails commits quickly is not flooded.
    milliseconds commit_retry_delay{100};
    milliseconds prepare_poll_interval{50};
    milliseconds catch_up_poll_interval{10};
    /// Bounds how long a planned switch waits, while no instance accepts writes, first for the old
    /// primary to be sealed and then for a replica to receive all that it holds.
    milliseconds catch_up_timeout{100};
    /// How long a switch looks for a replica that has caught up before it changes anything.
    milliseconds prepare_timeout{1000};
    /// How long to wait for more sealed instances when the longest log is on an avoided one.
    milliseconds avoided_candidate_delay{100};
    milliseconds follow_timeout{2000};
    milliseconds seal_timeout{3000};
    milliseconds promote_timeout{1500};
    /// How long an unclear commit is repeated and resolved.
    milliseconds commit_timeout{10000};
};

struct promotion_request {
    group_id group;
    host_id coordinator;
    /// The record that the attempt starts from; version 0 when the group has no row yet.
    group_record observed;
    /// All instances of the group; the first one with the longest log is preferred.
    std::vector<instance_id> instances;
    /// Instances in drained failure domains and on leaving servers.
    std::set<instance_id> avoided;
    /// A planned switch of a live primary to an instance that is not avoided.
    bool planned = false;
    /// Random text, unique for this attempt; it makes the marks in the group row.
    std::string mark;
};

/// Put `record` into the group row on condition that the row still has version `expected`.
/// Answered by `commit_response` with the record's mark.
struct commit_record {
    fleet_version expected;
    group_record record;
};
/// Read the group row; answered by `record_read`.
struct read_record {};
/// Send `state`; answered by `instance_state`.
struct query_state {
    instance_id instance;
    term_number term;
};
struct seal_instance {
    instance_id instance;
    term_number term;
};
struct promote_instance {
    instance_id instance;
    term_number term;
};
struct follow_primary {
    instance_id instance;
    instance_id primary;
    term_number term;
};
/// The row names the new primary. The attempt still sends `follow` until `finished()`.
struct promotion_succeeded {
    group_record record;
};
enum class promotion_failure {
    /// Another coordinator or operator changed the row, or an instance holds a higher term.
    superseded,
    store_unavailable,
    no_majority,
    /// `promote` was sent but not answered. The term is spent: a second `promote` of another
    /// instance could give one term two primaries.
    promote_unanswered,
    /// Planned switch only: no replica caught up in time. Nothing was changed.
    no_candidate,
};
struct promotion_failed {
    promotion_failure reason = promotion_failure::superseded;
};

using promotion_action =
    std::variant<commit_record, read_record, query_state, seal_instance, promote_instance,
                 follow_primary, promotion_succeeded, promotion_failed>;
using promotion_actions = std::vector<promotion_action>;

enum class commit_outcome { committed, conflict, unknown };

struct commit_response {
    /// The mark of the record that was to be committed.
    std::string mark;
    commit_outcome outcome = commit_outcome::unknown;
    /// The version of the commit; meaningful only when committed.
    fleet_version version;
};
struct record_read {
    group_record record;
};
struct read_failed {};
/// A group record that arrived with a fleet snapshot.
struct record_observed {
    group_record record;
};
struct seal_response {
    instance_id instance;
    /// The term that the request carried.
    term_number term;
    bool sealed = false;
    /// The term that the instance holds. A refusal at the attempt's own term is the answer to a
    /// repeated request that arrived after `promote` or `follow`.
    term_number held_term;
    term_number last_term;
    log_position received;
};
struct promote_response {
    instance_id instance;
    term_number term;
    bool promoted = false;
    /// The term that the instance holds.
    term_number held_term;
    log_position start_position;
};
struct follow_response {
    instance_id instance;
    term_number term;
};
struct time_passed {};

using promotion_event =
    std::variant<commit_response, record_read, read_failed, record_observed, instance_state,
                 seal_response, promote_response, follow_response, time_passed>;

/// One attempt to make an instance the primary of a new term (sections 4.1 and 4.6).
/// An answer that is lost needs no event: the attempt repeats the request. Answers may arrive late,
/// twice and in any order.
/// Thread safety: none; the owner serialises calls.
class promotion {
public:
    /// Preconditions: `request.instances` and `request.mark` are not empty, and a planned switch
    /// starts from an active record.
    promotion(promotion_request request, promotion_settings settings, time_point now);
    promotion(const promotion&) = delete;
    promotion& operator=(const promotion&) = delete;
    promotion(promotion&&) noexcept;
    promotion& operator=(promotion&&) noexcept;
    ~promotion();

    /// Returns the first actions. Precondition: called once, before any event.
    promotion_actions start(time_point now);
    promotion_actions handle(const promotion_event& event, time_point now);

    /// When `time_passed` must be handed in at the latest.
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] bool finished() const;
    /// The term that this attempt takes.
    [[nodiscard]] term_number term() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
