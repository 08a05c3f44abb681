#include "masticgrade/pacing/instance_pace.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

/// Within a group, reads and writes differ by about this factor.
constexpr int usual_time_factor = 2;
/// Isolated failures, such as one lost answer, are no sign of an unreachable instance.
constexpr unsigned failures_until_unreachable = 2;

bool is_usual(const instance_pace::answer& answer) {
    return !answer.usual || answer.elapsed <= usual_time_factor * *answer.usual;
}

}  // namespace

void instance_pace::start(time_point now) {
    limit_ = 1;
    fast_growth_end_ = unlimited;
    answers_ = 0;
    ends_at_ = now + max_length;
    halved_at_ = now;
}

bool instance_pace::on_answer(const answer& answer, time_point now) {
    failures_ = 0;
    // Answers at a lower concurrency than the limit are no evidence for a higher one, nor are those
    // to statements that were sent before the last refusal.
    if (!is_limiting(now) || answer.in_flight < limit_ || now - answer.elapsed < halved_at_) {
        return false;
    }
    ++answers_;
    const bool grows_fast = is_usual(answer) && limit_ < fast_growth_end_;
    if (!grows_fast && answers_ < limit_) {
        return false;
    }
    ++limit_;
    answers_ = 0;
    if (limit_ > answer.full) {
        limit_ = unlimited;
    }
    return true;
}

void instance_pace::on_refusal(time_point sent_at, time_point now) {
    failures_ = 0;
    if (is_limiting(now) && sent_at >= halved_at_) {
        halve(now);
    }
}

bool instance_pace::on_failure(failure kind, time_point sent_at, time_point now) {
    if (sent_at < halved_at_) {
        return false;
    }
    ++failures_;
    const bool was_limiting = is_limiting(now);
    if (failures_ >= failures_until_unreachable) {
        const auto ends_at = ends_at_;
        start(now);
        if (was_limiting && kind == failure::no_answer) {
            ends_at_ = ends_at;
        }
        return true;
    }
    if (was_limiting) {
        halve(now);
    }
    return false;
}

void instance_pace::halve(time_point now) {
    limit_ = std::max(1U, limit_ / 2);
    fast_growth_end_ = limit_;
    answers_ = 0;
    halved_at_ = now;
}

}  // namespace masticgrade
