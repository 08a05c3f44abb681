#include "promotion_attempt.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

promotion_attempt::promotion_attempt(promotion_request request, promotion_settings settings,
                                     time_point now)
    : request_(std::move(request)),
      settings_(settings),
      term_(request_.observed.term.next()),
      now_(now),
      row_version_(request_.observed.version) {
    MG_PRECONDITION(!request_.instances.empty());
    MG_PRECONDITION(!request_.mark.empty());
    if (request_.planned) {
        MG_PRECONDITION(request_.observed.phase == group_phase::active);
        MG_PRECONDITION(!request_.observed.primary.empty());
        request_.avoided.insert(request_.observed.primary);
    }
}

void promotion_attempt::enter_state(duration retry_interval, duration timeout) {
    next_retry_ = now_ + retry_interval;
    state_deadline_ = now_ + timeout;
    row_unchanged_ = false;
}

time_point promotion_attempt::next_wakeup() const {
    auto wakeup = std::min(next_retry_, state_deadline_);
    if (majority_sealed_at_ && candidate_.empty()) {
        wakeup = std::min(wakeup, *majority_sealed_at_ + settings_.avoided_candidate_delay);
    }
    return std::max(wakeup, now_);
}

void promotion_attempt::record_state(const instance_state& state) {
    const auto& progress = state.progress;
    if (progress.term != request_.observed.term) {
        return;
    }
    const log_end end{state.last_term, progress.received};
    if (progress.instance == request_.observed.primary) {
        // The position in the first response is the one that a replica must reach before the
        // switchover begins. Under load, later positions would stay ahead of the replicas.
        if (state.role == instance_role::primary && !primary_log_end_) {
            primary_log_end_ = end;
        }
    } else if (state.role == instance_role::replica) {
        auto& known = replica_log_ends_[progress.instance];
        known = std::max(known, end);
    }
}

void promotion_attempt::record_seal(const seal_response& response) {
    if (response.term != term_) {
        return;
    }
    if (!response.sealed) {
        superseded_ = superseded_ || response.held_term > term_;
        return;
    }
    const auto& known = request_.instances;
    if (std::find(known.begin(), known.end(), response.instance) == known.end()) {
        return;
    }
    // The response to a repeated seal may follow `promote`, which extends the log, so the log end
    // of the first response is kept.
    sealed_log_ends_.emplace(response.instance, log_end{response.last_term, response.received});
    if (sealed_log_ends_.size() >= majority() && !majority_sealed_at_) {
        majority_sealed_at_ = now_;
    }
}

void promotion_attempt::record_promote(const promote_response& response) {
    if (response.term != term_ || response.instance != candidate_) {
        return;
    }
    if (response.promoted) {
        start_position_ = response.start_position;
    } else {
        superseded_ = superseded_ || response.held_term > term_;
    }
}

void promotion_attempt::record_follow(const follow_response& response) {
    if (response.term == term_) {
        followers_.insert(response.instance);
    }
}

std::optional<fleet_version> promotion_attempt::record_row(const group_record& record) {
    if (record.version <= row_version_) {
        return std::nullopt;
    }
    if (pending_ && record.mark == pending_->mark) {
        return record.version;
    }
    superseded_ = true;
    return std::nullopt;
}

bool promotion_attempt::awaits_commit(const std::string& mark) const {
    return pending_ && pending_->mark == mark;
}

void promotion_attempt::record_committed(fleet_version version) {
    row_version_ = version;
    pending_->version = version;
    if (pending_->phase == group_phase::active) {
        request_.observed = *pending_;
    }
    pending_.reset();
}

void promotion_attempt::record_row_unchanged() {
    if (pending_) {
        row_unchanged_ = true;
        next_retry_ = now_ + settings_.commit_retry_delay;
    }
}

void promotion_attempt::query_states() {
    for (const auto& id : request_.instances) {
        if (sealed_log_ends_.count(id) == 0) {
            actions_.emplace_back(query_state{id, request_.observed.term});
        }
    }
}

void promotion_attempt::prepare_sealing_commit() {
    group_record record;
    record.term = term_;
    record.phase = group_phase::sealing;
    record.coordinator = request_.coordinator;
    record.mark = request_.mark + "/sealing";
    pending_ = std::move(record);
    commit_deadline_ = now_ + settings_.commit_timeout;
}

void promotion_attempt::prepare_active_commit() {
    group_record record;
    record.term = term_;
    record.primary = candidate_;
    record.start_position = *start_position_;
    record.phase = group_phase::active;
    record.coordinator = request_.coordinator;
    record.mark = request_.mark + "/active";
    pending_ = std::move(record);
    commit_deadline_ = now_ + settings_.commit_timeout;
}

void promotion_attempt::request_commit() {
    // Repeating the conditional commit is safe, because the row version lets at most one succeed.
    actions_.emplace_back(commit_record{row_version_, *pending_});
}

void promotion_attempt::request_read() { actions_.emplace_back(read_record{}); }

void promotion_attempt::request_seal_of_primary() {
    actions_.emplace_back(seal_instance{request_.observed.primary, term_});
}

void promotion_attempt::request_seals() {
    for (const auto& id : request_.instances) {
        if (sealed_log_ends_.count(id) == 0) {
            actions_.emplace_back(seal_instance{id, term_});
        }
    }
}

void promotion_attempt::choose_and_promote() {
    MG_INVARIANT("one_promotion_per_term", candidate_.empty(),
                 fmt::format("group={} term={} chosen={}", request_.group, term_, candidate_));
    MG_INVARIANT("majority_sealed", sealed_log_ends_.size() >= majority(),
                 fmt::format("group={} term={} sealed={} instances={}", request_.group, term_,
                             sealed_log_ends_.size(), request_.instances.size()));
    candidate_ = best_candidate();
    const auto& end = sealed_log_ends_.at(candidate_);
    MG_INVARIANT("chosen_log_is_longest",
                 std::all_of(sealed_log_ends_.begin(), sealed_log_ends_.end(),
                             [&](const auto& other) { return other.second <= end; }),
                 fmt::format("group={} term={} chosen={} last_term={} received={}", request_.group,
                             term_, candidate_, end.last_term, end.received));
    request_promote();
}

void promotion_attempt::request_promote() {
    actions_.emplace_back(promote_instance{candidate_, term_});
}

void promotion_attempt::request_follows() {
    for (const auto& id : request_.instances) {
        if (id != candidate_ && followers_.count(id) == 0) {
            actions_.emplace_back(follow_primary{id, candidate_, term_});
        }
    }
}

void promotion_attempt::report_success() {
    actions_.emplace_back(promotion_succeeded{request_.observed});
}

void promotion_attempt::report_failure(promotion_failure reason) {
    actions_.emplace_back(promotion_failed{superseded_ ? promotion_failure::superseded : reason});
}

bool promotion_attempt::replica_near_primary() const {
    return primary_log_end_ && replica_reached(*primary_log_end_);
}

bool promotion_attempt::primary_sealed() const {
    return sealed_log_ends_.count(request_.observed.primary) > 0;
}

bool promotion_attempt::replica_has_complete_log() const {
    return primary_sealed() && replica_reached(sealed_log_ends_.at(request_.observed.primary));
}

bool promotion_attempt::can_choose_candidate() const {
    if (sealed_log_ends_.size() < majority()) {
        return false;
    }
    return sealed_log_ends_.size() == request_.instances.size() || !avoided(best_candidate()) ||
           now_ >= *majority_sealed_at_ + settings_.avoided_candidate_delay;
}

bool promotion_attempt::all_follow() const {
    return std::all_of(request_.instances.begin(), request_.instances.end(), [&](const auto& id) {
        return id == candidate_ || followers_.count(id) > 0;
    });
}

promotion_actions promotion_attempt::take_actions() { return std::exchange(actions_, {}); }

std::size_t promotion_attempt::majority() const noexcept {
    return request_.instances.size() / 2 + 1;
}

bool promotion_attempt::avoided(const instance_id& instance) const {
    return request_.avoided.count(instance) > 0;
}

instance_id promotion_attempt::best_candidate() const {
    // Logs with the same last term and the same length have the same entries, so instances that are
    // not avoided can be preferred among them.
    const auto rank = [&](const instance_id& id) {
        return std::pair{sealed_log_ends_.at(id), !avoided(id)};
    };
    instance_id best;
    for (const auto& id : request_.instances) {
        if (sealed_log_ends_.count(id) > 0 && (best.empty() || rank(id) > rank(best))) {
            best = id;
        }
    }
    return best;
}

bool promotion_attempt::replica_reached(const log_end& end) const {
    return std::any_of(
        replica_log_ends_.begin(), replica_log_ends_.end(),
        [&](const auto& replica) { return !avoided(replica.first) && replica.second >= end; });
}

}  // namespace masticgrade
