#include "group_failover.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Time for the choice of a target after the held logs are confirmed.
constexpr seconds choice_margin{1};
/// Reads of the directory during the choice of a target, for each lifetime of its entries.
constexpr int directory_reads_per_lifetime = 8;
/// Replicas that do not answer a resume request are asked again after this time.
constexpr seconds resume_interval{1};

bool is_proven(const target_verdict& verdict) {
    return std::holds_alternative<promotion_proof>(verdict);
}

}  // namespace

asio::awaitable<std::optional<promotion_choice>> group_failover::prepare_target(
    failover_kind kind) {
    held_replicas_.clear();
    auto choice = co_await hold_replicas(kind);
    if (!choice) {
        co_return std::nullopt;
    }
    co_await refresh_directory();
    if (primary_has_returned()) {
        record_decision(promotion_refusal::primary_returned, std::nullopt, {});
        co_return std::nullopt;
    }
    // A replica that started after the hold can still acknowledge commits of a live primary. After
    // the primary has stepped down, the replicas in a fresh directory have every acknowledged
    // commit between them.
    const auto former_primary = co_await demote_primary();
    if (!former_primary) {
        co_await wait_until_primary_unused();
    }
    directory_read_at_ = steady_clock::now();
    co_await environment_.read_directory();
    co_return co_await choose_target(kind);
}

bool group_failover::primary_has_returned() const {
    const auto present = group_->primary_process();
    return present && present != replaced_ && group_->claims_primary(present->instance);
}

asio::awaitable<void> group_failover::refresh_directory() {
    const auto now = steady_clock::now();
    if (now - directory_read_at_ < environment_.entry_lifetime / directory_reads_per_lifetime) {
        co_return;
    }
    try {
        co_await environment_.read_directory();
        directory_read_at_ = now;
    } catch (const error& failure) {
        event_line{"failover_directory_not_read"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .field("reason", failure.what())
            .write();
    }
}

bool group_failover::is_final(const target_verdict& verdict) const {
    const auto* refusal = std::get_if<promotion_refusal>(&verdict);
    return refusal != nullptr && *refusal != promotion_refusal::acknowledgements_unknown &&
           *refusal != promotion_refusal::longer_log_unlisted && stepped_down_ &&
           stepped_down_->led;
}

asio::awaitable<std::optional<promotion_choice>> group_failover::choose_target(failover_kind kind) {
    // Long enough for the held logs to be confirmed.
    const auto deadline = steady_clock::now() + environment_.entry_lifetime + choice_margin;
    while (steady_clock::now() < deadline) {
        if (lock_valid_until_ - boot_clock::now() < lock_expiry / 2 && !co_await renew_lock()) {
            co_return std::nullopt;
        }
        co_await refresh_directory();
        if (primary_has_returned()) {
            record_decision(promotion_refusal::primary_returned, std::nullopt, {});
            co_return std::nullopt;
        }
        auto choice = co_await hold_replicas(kind);
        if (!choice) {
            co_return std::nullopt;
        }
        auto others = co_await find_unheld_logs();
        auto verdict = assess_target(choice->position, others, evaluate_acknowledgements());
        if (is_proven(verdict)) {
            others = co_await ask_lost_instances(others);
            verdict = assess_target(choice->position, others, evaluate_acknowledgements());
        }
        const bool is_complete = is_proven(verdict);
        record_decision(verdict, choice, others);
        event_line{is_complete ? "failover_target" : "failover_waits"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .field("target", choice->target)
            .field("position", choice->position)
            .field("unknown_replicas", others.unknown_replicas)
            .field("primary_known", !others.primary_is_unknown)
            .field("acknowledged", acknowledged_here().value_or(log_index{}))
            .field("sync_replicas", others.sync_replicas)
            .field("former_primary", others.former_primary.value_or(log_index{}))
            .field("longest_unlisted", others.longest_unlisted.value_or(log_index{}))
            .write();
        if (is_complete) {
            co_return choice;
        }
        if (is_final(verdict)) {
            // The next attempt can hold the old primary like the other replicas.
            co_return std::nullopt;
        }
        // This host may end while it waits, and the old primary with it.
        if (note_former_end() && !co_await renew_lock()) {
            co_return std::nullopt;
        }
        co_await sleep(check_interval);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<instance_status>> group_failover::demote_primary() {
    stepped_down_.reset();
    const auto primary = group_->primary();
    if (!primary) {
        co_return std::nullopt;
    }
    const auto process = group_->primary_process();
    const backend_request status_request = backend_status{};
    const auto seen_before = group_->highest_position(*primary);
    const auto before = co_await orders_.send(*primary, status_request);
    if (before) {
        group_->on_status(*primary, *before, seen_before);
    }
    // If the directory lists the process that has started without the log, the earlier one is
    // another log holder, and this one's log is known.
    const bool led = before && before->is_primary && before->term >= group_->newest_term() &&
                     (!group_->has_lost_log(*primary) || group_->started_after_promotion(*primary));
    const backend_request request = backend_step_down{hold_term_};
    const auto asked_at = boot_clock::now();
    const auto status = co_await orders_.send(*primary, request);
    log_order("step_down", *primary, status, asked_at);
    if (!status || status->is_primary) {
        co_return std::nullopt;
    }
    // A process that has started again between the two answers has lost the log of the first one.
    const bool has_same_log = led && status->received.number >= before->received.number;
    if (process) {
        stepped_down_ = {*process, status->received, has_same_log};
    }
    co_return status;
}

asio::awaitable<std::optional<promotion_choice>> group_failover::hold_replicas(failover_kind kind) {
    hold_term_ = group_->newest_term().next();
    const backend_request request = backend_hold{hold_term_};
    const auto deadline = steady_clock::now() + hold_timeout;
    unheld_logs not_asked;
    not_asked.sync_replicas = group_->sync_replicas();
    while (steady_clock::now() < deadline) {
        candidates_.clear();
        held_logs_.begin_round();
        held_at_ = boot_clock::now();
        const auto entries = group_->entries();
        for (const auto& entry : entries) {
            if (group_->primary() == entry.id) {
                continue;
            }
            promotion_candidate candidate;
            candidate.id = entry.id;
            const auto asked_at = boot_clock::now();
            candidate.held = co_await orders_.send(entry.id, request);
            log_order("replica_hold", entry.id, candidate.held, asked_at);
            candidate.is_draining = group_->is_draining(entry.id);
            if (candidate.held && candidate.held->is_primary && group_->has_lost_log(entry.id)) {
                // It leads without its log, so no other promotion has finished. The next round
                // holds it.
                const backend_request step_down = backend_step_down{hold_term_};
                co_await orders_.send(entry.id, step_down);
                candidate.held.reset();
            }
            if (candidate.held) {
                held_replicas_.insert(log_holder_of(entry));
                held_logs_.add(log_holder_of(entry), *candidate.held, boot_clock::now());
                if (candidate.held->is_primary || candidate.held->term >= hold_term_) {
                    // Another promotion has finished; `survey_instances` will find its primary.
                    candidates_.push_back(std::move(candidate));
                    record_decision(promotion_refusal::superseded, std::nullopt, not_asked);
                    co_return std::nullopt;
                }
            }
            candidates_.push_back(std::move(candidate));
        }
        held_logs_.end_round();
        auto replicas = candidates_;
        for (auto& replica : replicas) {
            if (replica.held && group_->lacks_recorded_log(replica.held->received)) {
                // It led without its log; its term would make it the longest one.
                replica.held->received.term = {};
            }
        }
        auto choice = choose_promotion_target(replicas, hold_term_);
        if (choice) {
            const auto chosen =
                std::find_if(entries.begin(), entries.end(),
                             [&](const auto& entry) { return entry.id == choice->target; });
            choice->start_time = chosen->start_time;
            if (kind == failover_kind::planned && group_->is_draining(choice->target)) {
                record_decision(promotion_refusal::target_draining, choice, not_asked);
                co_return std::nullopt;
            }
            co_return choice;
        }
        co_await sleep(check_interval);
    }
    record_decision(promotion_refusal::replicas_not_held, std::nullopt, not_asked);
    co_return std::nullopt;
}

asio::awaitable<void> group_failover::release_replicas() {
    // Only the current lock holder may resume replicas; a later holder may hold the same ones.
    replicas_to_resume_.merge(held_replicas_);
    held_replicas_.clear();
    resume_fence_ = lock_.record.fence;
    co_await resume_pending_replicas();
}

asio::awaitable<void> group_failover::resume_pending_replicas() {
    resume_after_ = steady_clock::now() + resume_interval;
    try {
        const auto row = co_await rows_.read();
        const bool is_own = row.holder == environment_.self && row.record.fence == resume_fence_;
        if (row.record.open && !is_own) {
            co_return;
        }
    } catch (const error& failure) {
        event_line{"replicas_not_resumed"}
            .field("group", group_->name())
            .field("reason", failure.what())
            .write();
        co_return;
    }
    const auto replicas = replicas_to_resume_;
    for (const auto& replica : replicas) {
        if (co_await resume(replica)) {
            replicas_to_resume_.erase(replica);
        }
    }
}

asio::awaitable<bool> group_failover::resume(log_holder replica) {
    const backend_request request = backend_resume{};
    const auto entries = group_->entries();
    const auto listed = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return replica.instance.empty() ? entry.address == replica.address
                                        : entry.id == replica.instance;
    });
    if (listed != entries.end()) {
        const auto status = co_await orders_.send(listed->id, request);
        co_return status.has_value();
    }
    if (group_->has_ended(replica)) {
        co_return true;
    }
    // A restart ends the hold, so that an instance with another id need not be resumed.
    const auto answer = co_await orders_.send_unlisted(replica.instance, replica.address, request);
    co_return answer.status.has_value() || answer.has_other_id;
}

}  // namespace masticgrade
