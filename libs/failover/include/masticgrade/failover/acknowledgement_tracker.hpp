#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

using write_number = strong_number<struct write_tag>;

/// A write that the primary has executed and that no majority has confirmed yet.
struct pending_write {
    write_number number;
    term_number term;
    log_position position;
    /// The primary's received position in the same response. It may be past `position`, for example
    /// when the response repeats an earlier result.
    log_position primary_received;
    time_point deadline;
};

/// Sends `confirm`. The owner reports the result to `on_confirm` or `on_confirm_failed` by the
/// deadline.
struct send_confirm {
    instance_id instance;
    term_number term;
    log_position position;
    time_point deadline;
};

enum class write_outcome {
    /// A majority has the write at its term, so that every later primary has it.
    acknowledged,
    /// The term ended first. `outcome_resolution` determines whether the write is kept.
    stale_term,
    /// No majority confirmed by the deadline.
    timed_out,
};

struct write_resolved {
    write_number number;
    write_outcome outcome = write_outcome::timed_out;
};

using acknowledgement_action = std::variant<send_confirm, write_resolved>;
using acknowledgement_actions = std::vector<acknowledgement_action>;

struct confirm_response {
    instance_id instance;
    /// The current term of the instance.
    term_number term;
    /// The term of the last entry in the instance's log. An instance that is sealed at a term but
    /// does not follow its primary yet may have a longer log of an older term, which is no
    /// confirmation.
    term_number log_term;
    log_position received;
};

struct acknowledgement_tracker_settings {
    /// Timeout of one confirm request, after which it is repeated.
    milliseconds confirm_timeout{500};
    /// Delay before the next confirm request to an instance after one that failed or did not
    /// advance its position.
    milliseconds confirm_retry_delay{20};
};

/// Decides when the writes of one group may be acknowledged (section 4.1). Has at most one confirm
/// request in flight for each instance, regardless of the number of pending writes.
/// Not thread-safe; the owner serialises calls.
class acknowledgement_tracker {
public:
    /// Precondition: `instances` is not empty and has no duplicates.
    explicit acknowledgement_tracker(std::vector<instance_id> instances,
                                     acknowledgement_tracker_settings settings = {});

    /// Handles a group record in phase active. Pending writes of older terms end as `stale_term`.
    /// A record of an older term, or of a term that is already active, is ignored.
    acknowledgement_actions on_term(term_number term, const instance_id& primary,
                                    log_position start_position, time_point now);
    /// Must be called when the group is being sealed at `term`, or an instance reports that higher
    /// term.
    acknowledgement_actions on_newer_term(term_number term, time_point now);
    /// Adds a write. Precondition: no pending write has the same number.
    acknowledgement_actions on_write(const pending_write& write, time_point now);
    acknowledgement_actions on_confirm(const confirm_response& response, time_point now);
    /// Must be called when a confirm request failed or timed out.
    acknowledgement_actions on_confirm_failed(const instance_id& instance, time_point now);
    acknowledgement_actions on_time(time_point now);

    /// The latest time for the next call of `on_time`; empty when no write is pending.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t pending() const noexcept { return writes_by_position_.size(); }

private:
    struct instance_status {
        instance_id id;
        log_position received;
        /// The highest term that the instance has reported.
        term_number term;
        std::optional<time_point> request_deadline;
        time_point earliest_next_confirm;
    };
    struct tracked_write {
        write_number number;
        time_point deadline;
    };

    [[nodiscard]] log_position majority_position() const;
    [[nodiscard]] std::size_t count_holders(log_position position) const;
    [[nodiscard]] bool majority_lost() const;
    instance_status* find(const instance_id& instance);
    void fail_pending_writes(acknowledgement_actions& actions);
    void resolve_confirmed(time_point now, acknowledgement_actions& actions);
    void resolve_expired(time_point now, acknowledgement_actions& actions);
    void request_confirms(time_point now, acknowledgement_actions& actions);
    acknowledgement_actions update(time_point now);

    acknowledgement_tracker_settings settings_;
    std::vector<instance_status> instances_;
    term_number term_;
    bool accepting_ = false;
    instance_id primary_;
    log_position start_position_;
    std::multimap<log_position, tracked_write> writes_by_position_;
    std::multimap<time_point, write_number> writes_by_deadline_;
};

}  // namespace masticgrade
