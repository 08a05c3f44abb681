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
    /// Intervals at which requests without a response are repeated.
    milliseconds instance_retry_interval{150};
    milliseconds store_retry_interval{300};
    /// Delay before a commit is repeated after the row was found unchanged. Limits the load on a
    /// store that fails commits quickly.
    milliseconds commit_retry_delay{100};
    milliseconds prepare_poll_interval{50};
    milliseconds catch_up_poll_interval{10};
    /// Limits how long a planned switchover waits, while no instance accepts writes, first for the
    /// old primary to be sealed and then for a replica to receive its complete log.
    milliseconds catch_up_timeout{100};
    /// How long a planned switchover waits for a replica to catch up before it changes anything.
    milliseconds prepare_timeout{1000};
    /// How long to wait for more sealed instances when only an avoided one has the longest log.
    milliseconds avoided_candidate_delay{100};
    milliseconds follow_timeout{2000};
    milliseconds seal_timeout{3000};
    milliseconds promote_timeout{1500};
    /// How long a commit with an unknown outcome is retried and resolved.
    milliseconds commit_timeout{10000};
};

struct promotion_request {
    group_id group;
    host_id coordinator;
    /// The record that the attempt starts from; version 0 if the store has no row for the group.
    group_record observed;
    /// All instances of the group. The first one with the longest log is preferred.
    std::vector<instance_id> instances;
    /// Instances in drained failure domains or on servers that are being removed. They are promoted
    /// only when no other instance has an equally long log.
    std::set<instance_id> avoided;
    /// A planned switchover from a working primary to an instance that is not avoided.
    bool planned = false;
    /// A random string that is unique to this attempt. The marks in the group row start with it.
    std::string mark;
};

/// Writes `record` to the group row on condition that the row still has version `expected`.
/// The response is a `commit_response` with the record's mark.
struct commit_record {
    fleet_version expected;
    group_record record;
};
/// Reads the group row. The response is `record_read` or `read_failed`.
struct read_record {};
/// Sends `state`. The response is an `instance_state`.
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
/// The row names the new primary. The attempt continues to send `follow` until `finished()`.
struct promotion_succeeded {
    group_record record;
};
enum class promotion_failure {
    /// Another coordinator or an operator changed the row, or an instance has a higher term.
    superseded,
    store_unavailable,
    no_majority,
    /// `promote` got no response. The term cannot be used again: promoting another instance at it
    /// could result in two primaries of the same term.
    promote_unanswered,
    /// Planned switchover only: no replica caught up in time. Nothing was changed.
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
    /// The mark of the record in the commit request.
    std::string mark;
    commit_outcome outcome = commit_outcome::unknown;
    /// The version of the committed row; valid only for `commit_outcome::committed`.
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
    /// The current term of the instance. A rejection at the attempt's own term is the response to a
    /// repeated request that arrived after `promote` or `follow`.
    term_number held_term;
    term_number last_term;
    log_position received;
};
struct promote_response {
    instance_id instance;
    term_number term;
    bool promoted = false;
    /// The current term of the instance.
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
/// A lost response needs no event, because the attempt repeats the request. Responses may be
/// delayed, duplicated and reordered.
/// Not thread-safe; the owner serialises calls.
class promotion {
public:
    /// Preconditions: `request.instances` and `request.mark` are not empty, and a planned
    /// switchover starts from an active record.
    promotion(promotion_request request, promotion_settings settings, time_point now);
    promotion(const promotion&) = delete;
    promotion& operator=(const promotion&) = delete;
    promotion(promotion&&) noexcept;
    promotion& operator=(promotion&&) noexcept;
    ~promotion();

    /// Returns the first actions. Precondition: called exactly once, before `handle`.
    promotion_actions start(time_point now);
    promotion_actions handle(const promotion_event& event, time_point now);

    /// The latest time for the next `time_passed` event.
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] bool finished() const;
    /// The new term that this attempt establishes.
    [[nodiscard]] term_number term() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
