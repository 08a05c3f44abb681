#include <algorithm>

#include "database_instance.hpp"

namespace masticgrade::standins {

replication_answer database_instance::entries_for(const replication_request& request,
                                                  std::size_t limit) const {
    replication_answer answer;
    answer.received_position = received_position();
    if (auto refusal = refuse_unless_primary(request.term)) {
        answer.status = refusal->status;
        return answer;
    }
    const auto previous = request.previous_position;
    if (previous > log_.size() || term_at(previous) != request.previous_term) {
        answer.status = "diverged";
        return answer;
    }
    answer.status = "ok";
    const auto end = std::min<std::uint64_t>(log_.size(), previous + limit);
    for (auto position = previous; position < end; ++position) {
        answer.entries.push_back(log_[position].entry);
    }
    return answer;
}

void database_instance::restart_replication() {
    ++epoch_;
    pending_.clear();
    proofs_.clear();
    current_as_of_.reset();
    matched_ = 0;
    fetched_position_ = log_.size();
    fetched_term_ = last_term();
}

std::optional<replication_request> database_instance::next_replication_request() const {
    if (role_ != instance_role::replica || primary_address_.empty()) {
        return std::nullopt;
    }
    return replication_request{epoch_, term_, fetched_position_, fetched_term_};
}

bool database_instance::accept_answer(const replication_request& request, replication_answer answer,
                                      time_point current_as_of, time_point due) {
    if (role_ != instance_role::replica || request.epoch != epoch_ ||
        request.previous_position != fetched_position_) {
        return false;
    }
    if (answer.status == "diverged") {
        // Looks for the common part one term at a time. Entries are only removed once an entry of
        // the primary contradicts them, because this instance may have confirmed them.
        const auto before = std::min<std::uint64_t>(fetched_position_, log_.size());
        auto common = before;
        while (common > 0 && term_at(common) == term_at(before)) {
            --common;
        }
        fetched_position_ = common;
        fetched_term_ = term_at(common);
        return true;
    }
    if (answer.status != "ok") {
        return false;
    }
    if (!answer.entries.empty()) {
        fetched_position_ = answer.entries.back().position;
        fetched_term_ = answer.entries.back().term;
    }
    if (!pending_.empty()) {
        due = std::max(due, pending_.back().due);
    }
    pending_.push_back({.entries = std::move(answer.entries),
                        .matched_position = fetched_position_,
                        .primary_position = answer.received_position,
                        .current_as_of = current_as_of,
                        .due = due});
    return true;
}

void database_instance::truncate_to(std::uint64_t position) {
    log_.resize(position);
    if (applied_ <= position) {
        return;
    }
    rows_.clear();
    records_.clear();
    applied_ = 0;
    while (applied_ < position) {
        apply_next();
    }
}

void database_instance::receive(pending_batch batch) {
    for (auto& entry : batch.entries) {
        const auto position = entry.position;
        if (position <= log_.size() && term_at(position) != entry.term) {
            truncate_to(position - 1);
        }
        if (position > log_.size()) {
            log_.push_back({std::move(entry), batch.due});
        }
    }
    matched_ = std::max(matched_, batch.matched_position);
    if (start_position_ == 0 && matched_ > 0 && term_at(matched_) == term_) {
        const auto first_of_term =
            std::ranges::find(log_, term_, [](const auto& stored) { return stored.entry.term; });
        start_position_ = first_of_term->entry.position;
    }
    proofs_.push_back({batch.primary_position, batch.current_as_of});
}

void database_instance::advance(time_point now, duration apply_lag) {
    if (role_ != instance_role::replica) {
        return;
    }
    while (!pending_.empty() && pending_.front().due <= now) {
        auto batch = std::move(pending_.front());
        pending_.pop_front();
        receive(std::move(batch));
    }
    while (applied_ < matched_ && log_[applied_].received_at + apply_lag <= now) {
        apply_next();
    }
    while (!proofs_.empty() && proofs_.front().position <= applied_) {
        current_as_of_ = proofs_.front().current_as_of;
        proofs_.pop_front();
    }
}

std::optional<time_point> database_instance::next_due(duration apply_lag) const {
    if (role_ != instance_role::replica) {
        return std::nullopt;
    }
    std::optional<time_point> due;
    if (!pending_.empty()) {
        due = pending_.front().due;
    }
    if (applied_ < matched_) {
        const auto apply_at = log_[applied_].received_at + apply_lag;
        due = due ? std::min(*due, apply_at) : apply_at;
    }
    return due;
}

}  // namespace masticgrade::standins
