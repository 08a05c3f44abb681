#pragma once

#include <map>
#include <optional>
#include <string>

#include "masticgrade/failover/promotion.hpp"

namespace masticgrade {

/// What one promotion attempt knows, and the requests it makes. The state machine in promotion.cpp
/// decides the order.
class promotion_attempt {
public:
    promotion_attempt(promotion_request request, promotion_settings settings, time_point now);

    // Time within the current state.
    void enter(duration retry, duration limit);
    void repeat_requests_in(duration retry) { next_retry_ = now_ + retry; }
    [[nodiscard]] bool retry_due() const noexcept { return now_ >= next_retry_; }
    [[nodiscard]] bool limit_passed() const noexcept { return now_ >= state_limit_; }
    [[nodiscard]] time_point next_wakeup() const;
    void set_now(time_point now) noexcept { now_ = now; }

    // What arrived.
    void record_state(const instance_state& state);
    void record_seal(const seal_response& answer);
    void record_promote(const promote_response& answer);
    void record_follow(const follow_response& answer);
    /// Notes a newer row of another coordinator. Returns the version of our own change when the
    /// row is the one that is to be committed.
    std::optional<fleet_version> record_row(const group_record& record);
    [[nodiscard]] bool awaits_commit(const std::string& mark) const;
    /// The pending change was found to be committed at `version`.
    void note_committed(fleet_version version);
    /// The row still has the version that the pending change requires.
    void note_row_unchanged();

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
    [[nodiscard]] bool commit_again_due() const noexcept { return row_unchanged_ && retry_due(); }
    [[nodiscard]] bool replica_is_near() const;
    [[nodiscard]] bool primary_sealed() const;
    [[nodiscard]] bool replica_has_everything() const;
    [[nodiscard]] bool can_choose() const;
    [[nodiscard]] bool promoted() const noexcept { return start_position_.has_value(); }
    [[nodiscard]] bool all_follow() const;

    /// What is left of the time to commit and to resolve unclear answers.
    [[nodiscard]] duration commit_time_left() const noexcept { return commit_limit_ - now_; }
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
    [[nodiscard]] instance_id best_sealed() const;
    [[nodiscard]] bool replica_at(const log_end& end) const;

    promotion_request request_;
    promotion_settings settings_;
    term_number term_;
    time_point now_;
    time_point next_retry_;
    time_point state_limit_;
    promotion_actions actions_;

    /// The version of the row that this attempt builds on.
    fleet_version row_version_;
    std::optional<group_record> pending_;
    time_point commit_limit_;
    bool row_unchanged_ = false;
    bool superseded_ = false;

    std::map<instance_id, log_end> replicas_;
    std::optional<log_end> primary_end_;
    std::map<instance_id, log_end> sealed_;
    std::optional<time_point> majority_since_;
    instance_id chosen_;
    std::optional<log_position> start_position_;
    std::set<instance_id> following_;
};

}  // namespace masticgrade
