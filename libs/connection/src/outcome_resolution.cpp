#include "masticgrade/connection/outcome_resolution.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

outcome_resolution::outcome_resolution(time_point deadline, resolution_settings settings)
    : deadline_(deadline), settings_(settings), next_attempt_at_(deadline) {}

resolution_actions outcome_resolution::on_primary(const instance_id& primary, term_number term,
                                                  time_point now) {
    if (finished() || term < term_ || (term == term_ && !primary_.empty())) {
        return {};
    }
    primary_ = primary;
    term_ = term;
    wait_until(now);
    return advance(now);
}

resolution_actions outcome_resolution::on_sealing(term_number term, time_point now) {
    if (!finished() && term > term_) {
        term_ = term;
        primary_ = instance_id{};
        wait_until(deadline_);
    }
    return advance(now);
}

resolution_actions outcome_resolution::on_cancel(const cancel_answer& answer, time_point now) {
    // An answer of an older term may refer to a log entry that the newer term has discarded.
    if (step_ != step::cancelling || answer.term != term_) {
        return advance(now);
    }
    if (answer.status == cancel_status::found || answer.status == cancel_status::cancelled) {
        answer_ = answer;
        step_ = step::confirming;
        next_attempt_at_ = deadline_;
        return {confirm_cancel{answer.term, answer.position, deadline_}};
    }
    wait_until(now + settings_.retry_delay);
    return advance(now);
}

resolution_actions outcome_resolution::on_confirmed(term_number term, log_position position,
                                                    bool acknowledged, time_point now) {
    if (step_ != step::confirming || term != answer_.term || position != answer_.position) {
        return advance(now);
    }
    if (!acknowledged) {
        wait_until(now + settings_.retry_delay);
        return advance(now);
    }
    if (now > deadline_) {
        return advance(now);
    }
    confirmed_term_ = term;
    confirmed_position_ = position;
    return finish(answer_.status == cancel_status::found ? resolved_outcome::done
                                                         : resolved_outcome::not_run);
}

resolution_actions outcome_resolution::on_timer(time_point now) { return advance(now); }

time_point outcome_resolution::next_wakeup() const noexcept {
    return std::min(next_attempt_at_, deadline_);
}

void outcome_resolution::wait_until(time_point until) {
    step_ = step::waiting;
    next_attempt_at_ = until;
}

resolution_actions outcome_resolution::finish(resolved_outcome outcome) {
    const bool found = answer_.status == cancel_status::found;
    const bool confirmed =
        confirmed_term_ == answer_.term && confirmed_position_ == answer_.position;
    MG_INVARIANT(
        "not_run_is_confirmed",
        outcome == resolved_outcome::outcome_unknown ||
            (confirmed && confirmed_term_ == term_ && found == (outcome == resolved_outcome::done)),
        fmt::format("outcome={} term={} answer_term={} position={} confirmed_term={} "
                    "confirmed_position={}",
                    static_cast<int>(outcome), term_, answer_.term, answer_.position,
                    confirmed_term_, confirmed_position_));
    step_ = step::finished;
    resolution_finished result;
    result.outcome = outcome;
    if (outcome != resolved_outcome::outcome_unknown) {
        result.result = found ? std::move(answer_.result) : std::string{};
        result.term = answer_.term;
        result.position = answer_.position;
    }
    return {std::move(result)};
}

resolution_actions outcome_resolution::advance(time_point now) {
    if (finished()) {
        return {};
    }
    if (now >= deadline_) {
        return finish(resolved_outcome::outcome_unknown);
    }
    if (step_ == step::confirming || primary_.empty() || next_attempt_at_ > now) {
        return {};
    }
    // Also repeats a cancel without an answer, which is safe because of the idempotency key.
    step_ = step::cancelling;
    next_attempt_at_ = now + settings_.cancel_timeout;
    return {send_cancel{primary_, term_, std::min(next_attempt_at_, deadline_)}};
}

}  // namespace masticgrade
