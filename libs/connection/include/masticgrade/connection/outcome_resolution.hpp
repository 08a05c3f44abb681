#pragma once

#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

struct resolution_settings {
    /// Delay before a cancel without an answer is sent again.
    milliseconds cancel_timeout{400};
    /// Delay before the next cancel after a refusal, a failure or a missing confirmation.
    milliseconds retry_delay{50};
};

/// Action: send a cancel with the statement's idempotency key to the primary of `term`.
struct send_cancel {
    instance_id primary;
    term_number term;
    time_point deadline;
};
/// Action: have a majority confirm `position` at `term`, as for a write.
struct confirm_cancel {
    term_number term;
    log_position position;
    time_point deadline;
};

enum class resolved_outcome {
    done,
    /// A majority has stored the cancel record, so that the statement fails if it arrives later.
    not_run,
    outcome_unknown,
};

/// Action: report the outcome; the resolution has ended.
struct resolution_finished {
    resolved_outcome outcome = resolved_outcome::outcome_unknown;
    /// The result of the statement, if done.
    std::string result;
    /// The log position of the statement or of the cancel record; empty when unknown.
    term_number term;
    log_position position;
};

using resolution_action = std::variant<send_cancel, confirm_cancel, resolution_finished>;
using resolution_actions = std::vector<resolution_action>;

enum class cancel_status {
    /// The statement ran; `result` and `position` are valid.
    found,
    /// The cancel record was written at `position`.
    cancelled,
    /// The instance is at another term or is not the primary.
    not_primary,
    /// No usable answer; the cancel record may have been written.
    failed,
};

struct cancel_answer {
    /// The term of the cancel request.
    term_number term;
    cancel_status status = cancel_status::failed;
    log_position position;
    std::string result;
};

/// Determines the outcome of a statement with an idempotency key whose answer was lost
/// (design 4.2). Cancels it on the current primary, has a majority confirm the answer, and reports
/// done, not run or, at the deadline, outcome unknown. Continues with the next primary when the
/// term changes and discards answers of older terms that were not confirmed.
/// Thread safety: none; the owner serialises calls.
class outcome_resolution {
public:
    outcome_resolution(time_point deadline, resolution_settings settings = {});

    /// Reports the active primary of a term. Older terms are ignored.
    resolution_actions on_primary(const instance_id& primary, term_number term, time_point now);
    /// Reports that the group is being sealed at `term`; waits for the primary of that term.
    resolution_actions on_sealing(term_number term, time_point now);
    resolution_actions on_cancel(const cancel_answer& answer, time_point now);
    /// Reports the result of `confirm_cancel`.
    resolution_actions on_confirmed(term_number term, log_position position, bool acknowledged,
                                    time_point now);
    resolution_actions on_timer(time_point now);

    /// The latest time at which `on_timer` must be called.
    [[nodiscard]] time_point next_wakeup() const noexcept;
    [[nodiscard]] bool finished() const noexcept { return step_ == step::finished; }

private:
    enum class step { waiting, cancelling, confirming, finished };

    void wait_until(time_point until);
    resolution_actions finish(resolved_outcome outcome);
    resolution_actions advance(time_point now);

    time_point deadline_;
    resolution_settings settings_;
    step step_ = step::waiting;
    instance_id primary_;
    term_number term_;
    time_point next_attempt_at_;
    /// The answer to be confirmed, and the term and position that a majority has confirmed.
    cancel_answer answer_;
    term_number confirmed_term_;
    log_position confirmed_position_;
};

}  // namespace masticgrade
