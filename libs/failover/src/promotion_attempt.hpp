#pragma once

#include <map>
#include <optional>
#include <string>

#include "masticgrade/failover/promotion.hpp"

namespace masticgrade {

/// The data and requests of one promotion attempt. The state machine in promotion.cpp determines
/// the order of the requests.
class promotion_attempt {
public:
    promotion_attempt(promotion_request request, promotion_settings settings, time_point now);

    // Timers of the current state.
    void enter_state(duration retry_interval, duration timeout);
    void schedule_retry(duration retry_interval) { next_retry_ = now_ + retry_interval; }
    [[nodiscard]] bool retry_due() const noexcept { return now_ >= next_retry_; }
    [[nodiscard]] bool timed_out() const noexcept { return now_ >= state_deadline_; }
    [[nodiscard]] time_point next_wakeup() const;
    void set_now(time_point now) noexcept { now_ = now; }

    // Responses.
    void record_state(const instance_state& state);
    void record_seal(const seal_response& response);
    void record_promote(const promote_response& response);
    void record_follow(const follow_response& response);
    /// Records the group row. Returns its version if it is the row that this attempt is committing.
    /// Any other newer row supersedes the attempt.
    std::optional<fleet_version> record_row(const group_record& record);
    /// Whether the record with this mark is being committed.
    [[nodiscard]] bool awaits_commit(const std::string& mark) const;
    /// Records that the pending record was committed at `version`.
    void record_committed(fleet_version version);
    /// Records that the row still has the version that the pending commit requires.
    void record_row_unchanged();

    // Requests.
    void query_states();
    void prepare_sealing_commit();
    void prepare_active_commit();
    void request_commit();
    void request_read();
    void request_seal_of_primary();
    void request_seals();
    void choose_and_promote();
    void request_promote();
    void request_follows();
    void report_success();
    void report_failure(promotion_failure reason);

    // Conditions.
    [[nodiscard]] bool planned() const noexcept { return request_.planned; }
    [[nodiscard]] bool superseded() const noexcept { return superseded_; }
    [[nodiscard]] bool committed() const noexcept { return !pending_; }
    [[nodiscard]] bool commit_retry_due() const noexcept { return row_unchanged_ && retry_due(); }
    [[nodiscard]] bool replica_near_primary() const;
    [[nodiscard]] bool primary_sealed() const;
    [[nodiscard]] bool replica_has_complete_log() const;
    [[nodiscard]] bool can_choose_candidate() const;
    [[nodiscard]] bool promoted() const noexcept { return start_position_.has_value(); }
    [[nodiscard]] bool all_follow() const;

    /// The remaining time to commit the record and to resolve unknown outcomes.
    [[nodiscard]] duration commit_time_left() const noexcept { return commit_deadline_ - now_; }
    [[nodiscard]] const promotion_settings& settings() const noexcept { return settings_; }
    [[nodiscard]] term_number term() const noexcept { return term_; }
    promotion_actions take_actions();

private:
    struct log_end {
        term_number last_term;
        log_position received;
        friend auto operator<=>(const log_end&, const log_end&) = default;
    };

    [[nodiscard]] std::size_t majority() const noexcept;
    [[nodiscard]] bool avoided(const instance_id& instance) const;
    [[nodiscard]] instance_id best_candidate() const;
    [[nodiscard]] bool replica_reached(const log_end& end) const;

    promotion_request request_;
    promotion_settings settings_;
    term_number term_;
    time_point now_;
    time_point next_retry_;
    time_point state_deadline_;
    promotion_actions actions_;

    /// The version of the row that the next commit requires.
    fleet_version row_version_;
    std::optional<group_record> pending_;
    time_point commit_deadline_;
    bool row_unchanged_ = false;
    bool superseded_ = false;

    std::map<instance_id, log_end> replica_log_ends_;
    std::optional<log_end> primary_log_end_;
    std::map<instance_id, log_end> sealed_log_ends_;
    std::optional<time_point> majority_sealed_at_;
    instance_id candidate_;
    std::optional<log_position> start_position_;
    std::set<instance_id> followers_;
};

}  // namespace masticgrade
