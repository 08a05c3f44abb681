#include <algorithm>

#include "backend_group.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// How long an instance's answer that it is not the primary overrides its directory entry, which
/// may be out of date.
constexpr milliseconds denial_lifetime{1500};
constexpr milliseconds probe_timeout{300};
/// Longer than a failover takes unless a log is missing.
constexpr seconds max_failover_time{5};

}  // namespace

void backend_group::update_primary(time_point now) {
    const auto checked_at = boot_clock::now();
    const bool target_is_listed = promoted_instance_is_listed();
    const auto is_denied = [&](const instance_state& instance) {
        return instance.denied_until > now ||
               leadership_.contradicts(claimant_of(instance.entry.id), target_is_listed,
                                       checked_at) ||
               has_lost_log(instance.entry.id);
    };
    if (primary_) {
        const auto found = instances_.find(*primary_);
        const bool stays = found != instances_.end() && !is_denied(found->second) &&
                           !failure_detector_.is_dead(now);
        if (stays) {
            const bool claims = found->second.entry.claims_primary;
            const bool settled = now - primary_since_ > denial_lifetime;
            const bool another_claims =
                std::any_of(instances_.begin(), instances_.end(), [&](const auto& entry) {
                    return entry.first != *primary_ && entry.second.entry.claims_primary &&
                           !is_denied(entry.second);
                });
            if (claims || !settled || !another_claims) {
                return;
            }
        }
    }
    for (const auto& [id, instance] : instances_) {
        if (instance.entry.claims_primary && !is_denied(instance) &&
            (!primary_ || id != *primary_)) {
            set_primary(id, newest_term_, "directory");
            return;
        }
    }
    if (primary_ && !instances_.contains(*primary_)) {
        event_line{"primary_lost"}.field("group", name_).field("instance", *primary_).write();
        primary_.reset();
    }
}

void backend_group::set_primary(const instance_id& instance, term_number term,
                                std::string_view reason) {
    newest_term_ = std::max(newest_term_, term);
    if (primary_ == instance) {
        return;
    }
    event_line{"primary_changed"}
        .field("group", name_)
        .field("from", primary_ ? primary_->str() : std::string{"none"})
        .field("to", instance)
        .field("term", newest_term_)
        .field("source", reason)
        .write();
    primary_ = instance;
    recent_primaries_.insert(instance);
    primary_since_ = steady_clock::now();
    failure_detector_.reset(primary_since_);
    if (const auto found = instances_.find(instance); found != instances_.end()) {
        found->second.denied_until = {};
        if (last_primary_ && last_primary_ != instance) {
            start_pace(found->second, "became_primary", primary_since_);
        }
    }
    last_primary_ = instance;
    dispatch_waiting();
}

void backend_group::on_status(const instance_id& instance, const instance_status& status,
                              std::optional<log_index> seen_before) {
    if (const auto found = instances_.find(instance); found != instances_.end()) {
        found->second.log_term = std::max(found->second.log_term, status.term);
        if (status.is_primary) {
            check_reported_log(instance, found->second, status, seen_before);
        }
    }
    if (status.is_primary && status.term >= newest_term_ && !has_lost_log(instance)) {
        set_primary(instance, status.term, "status");
        failure_detector_.on_answer(steady_clock::now());
    }
    newest_term_ = std::max(newest_term_, status.term);
}

void backend_group::check_reported_log(const instance_id& instance, instance_state& state,
                                       const instance_status& status,
                                       std::optional<log_index> seen_before) {
    // A replica that was ahead of a promoted one is rolled back, but never within a term.
    const bool fell = seen_before && seen_before->term >= status.term &&
                      status.received.number < seen_before->number;
    if (!fell && !leadership_.is_below_record(status.term, status.received)) {
        state.reported_end = status.received;
        state.may_have_restarted = false;
        state.position_fell = false;
        return;
    }
    on_position_fell(instance, status.received);
}

void backend_group::on_position_fell(const instance_id& instance, log_index position) {
    const auto found = instances_.find(instance);
    if (found == instances_.end() || found->second.position_fell) {
        return;
    }
    found->second.position_fell = true;
    event_line{"primary_log_lost", event_severity::warning}
        .field("group", name_)
        .field("instance", instance)
        .field("position", position)
        .field("seen", found->second.highest_position.value_or(log_index{}))
        .field("recorded", leadership_.record().target_position)
        .field("born", found->second.entry.start_time)
        .write();
}

void backend_group::check_restart(const instance_id& instance, std::optional<log_index> found,
                                  log_position known) {
    const auto number = found.value_or(log_index{}).number;
    const auto state = instances_.find(instance);
    if (state != instances_.end() && number < known) {
        state->second.may_have_restarted = true;
        state->second.highest_number = number;
    }
}

bool backend_group::has_lost_log(const instance_id& instance) const {
    return leadership_.has_lost_log(claimant_of(instance));
}

bool backend_group::primary_is_unconfirmed() const {
    return primary_ && leadership_.is_unconfirmed(claimant_of(*primary_)) &&
           !has_lost_log(*primary_);
}

std::optional<log_index> backend_group::reported_end(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found == instances_.end() ? std::nullopt : found->second.reported_end;
}

primary_reply backend_group::report_primary(const instance_id& instance) const {
    const auto now = steady_clock::now();
    const auto answered = failure_detector_.last_answer();
    if (primary_ != instance || !answered || primary_is_dead(now)) {
        return {};
    }
    return {true, std::chrono::ceil<milliseconds>(now - *answered)};
}

void backend_group::on_primary_reported_alive(const instance_id& instance) {
    if (primary_ == instance) {
        failure_detector_.reset(steady_clock::now());
    }
}

void backend_group::on_order_refused(const instance_id& instance) {
    if (primary_ == instance) {
        failure_detector_.on_answer(steady_clock::now());
    }
}

std::optional<instance_id> backend_group::primary() const { return primary_; }

bool backend_group::owns_primary_pool() const {
    const auto found = primary_ ? instances_.find(*primary_) : instances_.end();
    return found != instances_.end() && environment_.pool_owner_of(found->second.entry).is_self;
}

bool backend_group::primary_is_dead(time_point now) const {
    return !primary_ || failure_detector_.is_dead(now) || has_lost_log(*primary_) ||
           leadership_.contradicts(claimant_of(*primary_), promoted_instance_is_listed(),
                                   boot_clock::now());
}

bool backend_group::has_usable_primary(time_point now) const {
    return primary_ && !primary_is_dead(now) && may_lead(*primary_, boot_clock::now());
}

bool backend_group::lacks_primary(time_point now) const {
    return primary_unusable_since_ && now - *primary_unusable_since_ >= max_failover_time &&
           !has_usable_primary(now);
}

leadership_evidence::claimant backend_group::claimant_of(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    leadership_evidence::claimant result{instance, {}};
    if (found != instances_.end()) {
        const auto& state = found->second;
        result.log_term = state.log_term;
        result.start_time = state.entry.start_time;
        result.reported_end = state.reported_end;
        result.may_have_restarted = state.may_have_restarted;
        result.position_fell = state.position_fell;
    }
    return result;
}

bool backend_group::promoted_instance_is_listed() const {
    return instances_.contains(leadership_.record().target);
}

bool backend_group::may_lead(const instance_id& instance, boot_time now) const {
    return leadership_.allows(claimant_of(instance), promoted_instance_is_listed(), now);
}

void backend_group::on_failover_row(const std::optional<failover_record>& row, boot_time read_at,
                                    store_era era) {
    const bool was_lost = leadership_.is_lost();
    const auto known_holders = last_failover().log_holders;
    const bool is_new_promotion = leadership_.on_row(row, read_at, era);
    const auto& record = leadership_.record();
    if (is_new_promotion) {
        replica_positions_.on_promotion(record.term);
        recent_primaries_.clear();
    }
    if (era > failover_row_era_ || record.log_holders.empty()) {
        // Only a row that was written after the known one removes log holders: one of a later era
        // may come from an older copy, and an unreadable row names none.
        std::for_each(known_holders.begin(), known_holders.end(),
                      [&](const auto& holder) { keep_log_holder(holder); });
    }
    if (!leadership_.is_lost()) {
        failover_row_era_ = std::max(failover_row_era_, era);
    }
    forget_log_holders(record.log_holders);
    if (leadership_.is_lost() != was_lost) {
        event_line{was_lost ? "failover_row_regained" : "failover_row_lost"}
            .field("group", name_)
            .field("era", era)
            .field("fence", row ? row->fence : 0)
            .field("known_fence", record.fence)
            .field("target", record.target)
            .write();
    }
    if (is_new_promotion && instances_.contains(record.target)) {
        set_primary(record.target, record.term, "failover_row");
    } else if (is_new_promotion) {
        environment_.refresh_directory();
    }
    dispatch_waiting();
}

void backend_group::on_log_seen(const instance_id& instance, log_index position) {
    // The end of a primary's log may be on no replica.
    if (!recent_primaries().contains(instance) && !lacks_recorded_log(position)) {
        replica_positions_.on_seen(instance, position);
    }
}

std::set<instance_id> backend_group::recent_primaries() const {
    auto result = recent_primaries_;
    result.insert(last_failover().target);
    return result;
}

void backend_group::on_failover_begun(std::uint64_t fence) {
    leadership_.revoke(fence, boot_clock::now());
    event_line{"primary_suspended"}
        .field("group", name_)
        .field("instance", primary_ ? primary_->str() : std::string{"none"})
        .field("fence", fence)
        .field("known_fence", leadership_.record().fence)
        .write();
}

void backend_group::on_primary_denied(const instance_id& instance) {
    const auto now = steady_clock::now();
    const auto found = instances_.find(instance);
    if (found != instances_.end()) {
        found->second.denied_until = now + denial_lifetime;
    }
    if (primary_ == instance) {
        event_line{"primary_denied"}.field("group", name_).field("instance", instance).write();
        primary_.reset();
        update_primary(now);
        environment_.refresh_directory();
    }
}

void backend_group::add_proof(const instance_id& instance, boot_time sent_at, log_index position) {
    // Commits that another primary has acknowledged may be missing in this instance's log.
    if (!may_lead(instance, sent_at)) {
        return;
    }
    if (const auto found = instances_.find(instance); found != instances_.end()) {
        auto& highest = found->second.highest_position;
        highest = std::max(highest, std::optional{position});
    }
    proofs_.add(sent_at, position);
    acknowledgements_.on_proof({sent_at, position});
    newest_term_ = std::max(newest_term_, position.term);
    if (position.term >= newest_term_) {
        set_primary(instance, position.term, "answer");
    }
}

asio::awaitable<void> backend_group::probe(endpoint_address address, instance_id instance) {
    const auto self = shared_from_this();
    const bool reachable =
        co_await environment_.connector.is_reachable(address, steady_clock::now() + probe_timeout);
    probe_in_progress_ = false;
    if (primary_ != instance) {
        co_return;
    }
    failure_detector_.on_probe_result(reachable, steady_clock::now());
    if (!reachable) {
        event_line{"primary_unreachable"}
            .field("group", name_)
            .field("instance", instance)
            .field("dead", failure_detector_.is_dead(steady_clock::now()))
            .write();
        dispatch_waiting();
    }
}

}  // namespace masticgrade
