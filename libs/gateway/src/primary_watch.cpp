#include "masticgrade/gateway/primary_watch.hpp"

namespace masticgrade {

void primary_watch::reset(time_point now) {
    *this = {};
    last_tick_ = now;
}

void primary_watch::on_statement_sent(time_point now) {
    last_sent_ = now;
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
}

void primary_watch::on_answer(time_point /*now*/) {
    unanswered_since_.reset();
    failed_probes_ = 0;
}

void primary_watch::on_probe(bool reachable, time_point now) {
    if (reachable) {
        failed_probes_ = 0;
        unanswered_since_ = now;
    } else {
        ++failed_probes_;
    }
}

void primary_watch::on_connection_refused(time_point now) {
    on_statement_sent(now);
    ++failed_probes_;
}

void primary_watch::on_commit_sent(time_point now) {
    if (!commit_unanswered_since_) {
        commit_unanswered_since_ = now;
    }
}

void primary_watch::on_commit_answered(time_point /*now*/) {
    commit_unanswered_since_.reset();
    commits_timed_out_ = 0;
}

void primary_watch::on_commit_timeout(time_point /*now*/) { ++commits_timed_out_; }

void primary_watch::tick(time_point now) {
    if (last_tick_ != time_point{} && now - last_tick_ > longest_tick_gap) {
        reset(now);
    }
    last_tick_ = now;
}

bool primary_watch::wants_probe(time_point now) const {
    return unanswered_since_ && now - *unanswered_since_ >= silence_limit &&
           now - last_sent_ <= interest_time;
}

bool primary_watch::is_dead(time_point now) const {
    if (failed_probes_ >= failed_probes_limit && unanswered_since_) {
        return true;
    }
    return commits_timed_out_ >= 2 && commit_unanswered_since_ &&
           now - *commit_unanswered_since_ >= commit_stall_limit;
}

}  // namespace masticgrade
