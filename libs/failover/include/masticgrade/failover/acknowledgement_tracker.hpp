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

/// A write that the primary executed and that no majority has confirmed yet.
struct pending_write {
    write_number number;
    term_number term;
    log_position position;
    /// The primary's received position in the same answer; it may be past `position`, for example
    /// when an earlier result is replayed.
    log_position primary_received;
    time_point deadline;
};

/// Send `confirm`; answered by `confirm_response` or `on_confirm_failed`, by the deadline at the
/// latest.
struct send_confirm {
    instance_id instance;
    term_number term;
    log_position position;
    time_point deadline;
};

enum class write_outcome {
    /// A majority holds the write at its term; no later primary can lack it.
    acknowledged,
    /// The term ended first. Whether the write survives is for `outcome_resolution` to find out.
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
    /// The term that the instance holds.
    term_number term;
    /// The term of the last entry in its log. An instance that was sealed at a term but does not
    /// follow its primary yet may hold a longer log of an older term, which confirms nothing.
    term_number log_term;
    log_position received;
};

struct acknowledgement_tracker_settings {
    /// Upper bound on the time that one confirm request may take; a lost one is then repeated.
    milliseconds confirm_timeout{500};
    /// Wait before the next confirm to an instance that failed or refused one.
    milliseconds confirm_retry_delay{20};
};

/// Decides when the writes of one group may be acknowledged (section 4.1). Keeps at most one
/// confirm outstanding for each instance, whatever the number of pending writes.
/// Thread safety: none; the owner serialises calls.
class acknowledgement_tracker {
public:
    /// Precondition: `instances` is not empty and holds no instance twice.
    explicit acknowledgement_tracker(std::vector<instance_id> instances,
                                     acknowledgement_tracker_settings settings = {});

    /// A group record in phase active. Writes of older terms become `stale_term`; an older record
    /// is ignored.
    acknowledgement_actions on_term(term_number term, const instance_id& primary,
                                    log_position start_position, time_point now);
    /// The group is being sealed at `term`, or an instance answered with that higher term.
    acknowledgement_actions on_newer_term(term_number term, time_point now);
    /// Precondition: no pending write has the same number.
    acknowledgement_actions on_write(const pending_write& write, time_point now);
    acknowledgement_actions on_confirm(const confirm_response& answer, time_point now);
    /// A confirm request failed or timed out.
    acknowledgement_actions on_confirm_failed(const instance_id& instance, time_point now);
    acknowledgement_actions on_time(time_point now);

    /// When `on_time` must be called at the latest; empty when nothing is pending.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t pending() const noexcept { return by_target_.size(); }

private:
    struct instance_evidence {
        instance_id id;
        log_position received;
        /// The term at which the instance last answered.
        term_number term;
        std::optional<time_point> outstanding_until;
        time_point next_confirm;
    };
    struct waiting_write {
        write_number number;
        time_point deadline;
    };

    [[nodiscard]] log_position majority_position() const;
    [[nodiscard]] std::size_t holders(log_position target) const;
    [[nodiscard]] bool majority_lost() const;
    instance_evidence* find(const instance_id& instance);
    void end_term(acknowledgement_actions& actions);
    void resolve(time_point now, acknowledgement_actions& actions);
    void expire(time_point now, acknowledgement_actions& actions);
    void request_confirms(time_point now, acknowledgement_actions& actions);
    acknowledgement_actions step(time_point now);

    acknowledgement_tracker_settings settings_;
    std::vector<instance_evidence> instances_;
    term_number term_;
    bool accepting_ = false;
    instance_id primary_;
    log_position start_position_;
    std::multimap<log_position, waiting_write> by_target_;
    std::multimap<time_point, write_number> by_deadline_;
};

}  // namespace masticgrade
