#include "masticgrade/gateway/primary_failure_detector.hpp"

namespace masticgrade {

void primary_failure_detector::reset(time_point now) {
    *this = {};
    last_tick_ = now;
}

void primary_failure_detector::on_statement_sent(time_point now) {
    last_sent_ = now;
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
}

void primary_failure_detector::on_answer(time_point now) {
    last_answer_ = now;
    unanswered_since_.reset();
    failed_probes_ = 0;
}

void primary_failure_detector::on_probe_result(bool reachable, time_point now) {
    if (reachable) {
        failed_probes_ = 0;
        unanswered_since_ = now;
    } else {
        ++failed_probes_;
    }
}

void primary_failure_detector::on_connection_refused(time_point now) {
    on_statement_sent(now);
    ++failed_probes_;
}

void primary_failure_detector::on_commit_sent(time_point now) {
    if (!commit_unanswered_since_) {
        commit_unanswered_since_ = now;
    }
}

void primary_failure_detector::on_commit_answered(time_point /*now*/) {
    commit_unanswered_since_.reset();
    commits_timed_out_ = 0;
}

void primary_failure_detector::on_commit_timeout(time_point /*now*/) { ++commits_timed_out_; }

void primary_failure_detector::tick(time_point now) {
    if (last_tick_ != time_point{} && now - last_tick_ > max_tick_gap) {
        reset(now);
    }
    last_tick_ = now;
}

bool primary_failure_detector::should_probe(time_point now) const {
    return unanswered_since_ && now - *unanswered_since_ >= response_timeout &&
           now - last_sent_ <= probe_activity_window;
}

bool primary_failure_detector::is_dead(time_point now) const {
    if (failed_probes_ >= failed_probe_threshold && unanswered_since_) {
        return true;
    }
    return commits_timed_out_ >= 2 && commit_unanswered_since_ &&
           now - *commit_unanswered_since_ >= commit_stall_limit;
}

}  // namespace masticgrade
