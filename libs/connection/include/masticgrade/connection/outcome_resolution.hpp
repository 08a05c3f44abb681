#pragma once

#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

struct resolution_settings {
    /// A cancel without an answer is repeated after this long.
    milliseconds cancel_timeout{400};
    /// Wait before the next cancel after a refusal, a failure or a missing confirmation.
    milliseconds retry_delay{50};
};

/// Send `cancel` with the statement's idempotency key to the primary of `term`.
struct send_cancel {
    instance_id primary;
    term_number term;
    time_point deadline;
};
/// Have a majority confirm `position` at `term`, as for a write.
struct confirm_cancel {
    term_number term;
    log_position position;
    time_point deadline;
};

enum class resolved_outcome {
    done,
    /// A majority holds the cancel record, so that a late arrival of the statement fails.
    not_run,
    outcome_unknown,
};

struct resolution_finished {
    resolved_outcome outcome = resolved_outcome::outcome_unknown;
    /// The result of the statement, when done.
    std::string result;
    /// Where the statement or the cancel record is in the log; empty when unknown.
    term_number term;
    log_position position;
};

using resolution_action = std::variant<send_cancel, confirm_cancel, resolution_finished>;
using resolution_actions = std::vector<resolution_action>;

enum class cancel_status {
    /// The statement ran; `result` and `position` are valid.
    found,
    /// The cancel record is written at `position`.
    cancelled,
    /// The instance holds another term or is not the primary.
    not_primary,
    /// No usable answer; the cancel may have been written.
    failed,
};

struct cancel_answer {
    /// The term that the cancel carried.
    term_number term;
    cancel_status status = cancel_status::failed;
    log_position position;
    std::string result;
};

/// Finds out what became of a statement with an idempotency key whose answer was lost (section
/// 4.2): cancels it on the current primary, has the answer confirmed by a majority, and reports
/// done, not run or, at the deadline, outcome unknown. Goes on with the next primary when the term
/// changes; an answer that an older term did not get confirmed is worth nothing.
/// Thread safety: none; the owner serialises calls.
class outcome_resolution {
public:
    outcome_resolution(time_point deadline, resolution_settings settings = {});

    /// The active primary of a term. Older terms are ignored.
    resolution_actions on_primary(const instance_id& primary, term_number term, time_point now);
    /// The group is being sealed at `term`: waits for its primary.
    resolution_actions on_sealing(term_number term, time_point now);
    resolution_actions on_cancel(const cancel_answer& answer, time_point now);
    /// The answer to `confirm_cancel`.
    resolution_actions on_confirmed(term_number term, log_position position, bool acknowledged,
                                    time_point now);
    resolution_actions on_timer(time_point now);

    /// When `on_timer` must be called at the latest.
    [[nodiscard]] time_point next_wakeup() const noexcept;
    [[nodiscard]] bool finished() const noexcept { return step_ == step::finished; }

private:
    enum class step { waiting, cancelling, confirming, finished };

    void wait(time_point until);
    resolution_actions finish(resolved_outcome outcome);
    resolution_actions proceed(time_point now);

    time_point deadline_;
    resolution_settings settings_;
    step step_ = step::waiting;
    instance_id primary_;
    term_number term_;
    time_point next_;
    /// The answer that is being confirmed, and the term and position that a majority confirmed.
    cancel_answer answer_;
    term_number confirmed_term_;
    log_position confirmed_position_;
};

}  // namespace masticgrade
