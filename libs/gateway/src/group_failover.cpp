#include "group_failover.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds check_interval{100};
constexpr milliseconds promote_call_timeout{1500};
/// A lock whose row has not changed for this long has lost its holder. Longer than a promotion in
/// which one answer is lost.
constexpr seconds lock_expiry{5};
/// Time in which all replicas must be held.
constexpr seconds hold_timeout{3};
/// Time from a promotion call until the target is the primary; instances take up to 1 s.
constexpr seconds new_primary_timeout{3};
/// Prevents that one failure causes a series of promotions.
constexpr seconds delay_after_promotion{3};
constexpr milliseconds delay_after_failure{400};
/// Between rounds of a host that reaches replicas but too few hosts. Others wait for
/// `delay_after_failure`, since their link may be full.
constexpr milliseconds delay_while_isolated{100};
constexpr milliseconds target_status_timeout{500};
/// Calls with an unknown outcome are repeated for this long. The platform may carry out a call up
/// to 12 s late.
constexpr seconds promote_timeout{15};
/// Replicas that do not answer a resume request are asked again after this time.
constexpr seconds resume_interval{1};
/// Outcomes that the store did not accept are written again for this long.
constexpr seconds record_timeout{10};
/// The primary has the same time to answer as the replicas: over a slow link, answers of replicas
/// alone would make it look dead.
constexpr milliseconds survey_timeout{500};

/// Answers of a group's instances, in the order of its entries. The timer ends the wait for those
/// that are missing.
struct pending_answers {
    std::vector<instance_orders::order_answer> answers;
    std::size_t missing;
    asio::steady_timer timer;
};

bool is_proven(const target_verdict& verdict) {
    return std::holds_alternative<promotion_proof>(verdict);
}

/// Adds a log that cannot be promoted, unless it is held.
void add_log(unheld_logs& logs, counted_log log) {
    const bool is_primary =
        log.state == log_state::primary_silent || log.state == log_state::primary_unrecorded;
    if (is_primary && !logs.primary_is_unknown) {
        logs.primary_is_unknown = true;
    } else if (!is_known(log.state)) {
        ++logs.unknown_replicas;
    }
    const bool is_compared = log.state == log_state::held || is_primary ||
                             (log.state == log_state::stepped_down && logs.former_primary);
    if (log.position && !is_compared) {
        logs.longest_unlisted =
            std::max(logs.longest_unlisted.value_or(log_index{}), *log.position);
    }
    logs.logs.push_back(std::move(log));
}

}  // namespace

group_failover::group_failover(std::shared_ptr<backend_group> group,
                               failover_environment environment)
    : group_(std::move(group)),
      environment_(std::move(environment)),
      rows_(environment_.store, group_->name(), environment_.self),
      orders_(group_, environment_.connector),
      decisions_(group_->name(), environment_.metrics) {}

asio::awaitable<void> group_failover::sleep(duration length) {
    asio::steady_timer timer{environment_.executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

group_failover::failover_kind group_failover::required_failover(time_point now) const {
    if (group_->entries().size() < 2) {
        return failover_kind::none;
    }
    if (group_->primary_is_dead(now) || row_needs_closing()) {
        return failover_kind::unplanned;
    }
    const auto primary = group_->primary();
    return primary && group_->is_draining(*primary) ? failover_kind::planned : failover_kind::none;
}

bool group_failover::row_needs_closing() const {
    return group_->last_failover().open || group_->last_failover_is_lost();
}

asio::awaitable<void> group_failover::run() {
    const auto self = shared_from_this();
    while (!stopping_) {
        co_await sleep(check_interval);
        const auto now = steady_clock::now();
        const auto kind = required_failover(now);
        if (kind == failover_kind::none) {
            required_since_.reset();
            suspicion_.clear();
            if (!replicas_to_resume_.empty() && now >= resume_after_) {
                co_await resume_pending_replicas();
            }
            continue;
        }
        if (!required_since_) {
            required_since_ = now;
        }
        const auto rank =
            failover_rank(group_->name(), environment_.self, environment_.live_hosts());
        if (now < retry_after_ || now - *required_since_ < takeover_delay(rank)) {
            continue;
        }
        promoting_ = true;
        const scope_guard done{[&] { promoting_ = false; }};
        try {
            co_await run_failover(kind);
        } catch (const error& failure) {
            retry_after_ = steady_clock::now() + delay_after_failure;
            event_line{"failover_failed"}
                .field("group", group_->name())
                .field("reason", failure.what())
                .write();
        }
    }
}

asio::awaitable<void> group_failover::run_failover(failover_kind kind) {
    retry_after_ = steady_clock::now() + delay_after_failure;
    const auto replaced = group_->primary();
    if (kind == failover_kind::planned) {
        co_await survey_instances();
    } else {
        const auto verdict = co_await assess_primary();
        if (!verdict) {
            if (row_needs_closing()) {
                co_await close_abandoned_row();
            }
            co_return;
        }
        if (*verdict == primary_verdict::inconclusive) {
            retry_after_ = steady_clock::now() +
                           (suspicion_.is_isolated() ? delay_while_isolated : delay_after_failure);
        }
        if (!permits_failover(*verdict)) {
            co_return;
        }
    }
    if (!co_await acquire_lock()) {
        co_return;
    }
    // The next attempt needs a verdict of its own.
    suspicion_.clear();
    // Another host may have finished a promotion in the meantime.
    if (group_->primary() != replaced ||
        required_failover(steady_clock::now()) == failover_kind::none) {
        co_await release_lock();
        co_return;
    }
    group_->on_failover_begun(lock_.record.fence);
    census_ = {};
    asio::co_spawn(environment_.executor, announce(lock_.record.fence), asio::detached);
    event_line{"failover_started"}
        .field("group", group_->name())
        .field("planned", kind == failover_kind::planned)
        .field("primary", group_->primary() ? group_->primary()->str() : std::string{"none"})
        .field("term", group_->newest_term())
        .field("fence", lock_.record.fence)
        .write();
    const auto choice = co_await prepare_target(kind);
    if (!choice) {
        decisions_.on_attempt_refused();
        co_await release_replicas();
        co_await release_lock();
        co_return;
    }
    const auto term = co_await promote(*choice);
    event_line{"failover_ended"}
        .field("group", group_->name())
        .field("target", choice->target)
        .field("position", choice->position)
        .field("fence", lock_.record.fence)
        .field("leads", term.has_value())
        .write();
    environment_.metrics.count("masticgrade_promotions_total", "Promotions by outcome.",
                               term ? "done" : "failed");
    if (term) {
        retry_after_ = steady_clock::now() + delay_after_promotion;
        auto target = choice->target;
        co_await record_promotion(std::move(target), *term);
    }
}

asio::awaitable<void> group_failover::close_abandoned_row() {
    if (!co_await acquire_lock()) {
        co_return;
    }
    const auto primary = group_->primary();
    if (!primary) {
        co_await release_lock();
        co_return;
    }
    event_line{"failover_abandoned"}
        .field("group", group_->name())
        .field("primary", *primary)
        .field("fence", lock_.record.fence)
        .field("row_lost", group_->last_failover_is_lost())
        .write();
    held_replicas_.clear();
    const auto entries = group_->entries();
    for (const auto& entry : entries) {
        if (entry.id != *primary) {
            held_replicas_.insert(log_holder_of(entry));
        }
    }
    auto target = *primary;
    auto term = group_->newest_term();
    if (lock_.record.request_pending) {
        if (!took_over_) {
            // Hosts may have used another primary shortly before this attempt.
            group_->on_failover_begun(lock_.record.fence);
            asio::co_spawn(environment_.executor, announce(lock_.record.fence), asio::detached);
            co_await wait_until_primary_unused();
        }
        const auto leads_in = co_await fence_pending_requests(target);
        if (!leads_in) {
            co_return;
        }
        term = *leads_in;
    }
    co_await release_replicas();
    co_await record_promotion(std::move(target), term);
}

asio::awaitable<std::optional<term_number>> group_failover::fence_pending_requests(
    instance_id primary) {
    const auto deadline = steady_clock::now() + promote_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline && co_await renew_lock()) {
        const auto status = co_await orders_.send(primary, status_request);
        if (!status) {
            co_await sleep(check_interval);
            continue;
        }
        if (!status->is_primary) {
            // It has started again or has been replaced, so the request would promote it.
            co_return std::nullopt;
        }
        const auto outcome =
            co_await environment_.promotions.promote(group_->name(), primary, lock_.record.fence,
                                                     steady_clock::now() + promote_call_timeout);
        log_request(primary, outcome);
        if (outcome == promotion_outcome::refused) {
            co_return std::nullopt;
        }
        if (outcome == promotion_outcome::done) {
            promotion_choice present{primary, {}};
            co_return co_await wait_until_primary(std::move(present));
        }
    }
    co_return std::nullopt;
}

void group_failover::log_request(const instance_id& target, promotion_outcome outcome) const {
    event_line{"promote_call"}
        .field("group", group_->name())
        .field("target", target)
        .field("fence", lock_.record.fence)
        .field("outcome", outcome == promotion_outcome::done      ? "done"
                          : outcome == promotion_outcome::refused ? "refused"
                                                                  : "unknown")
        .write();
}

void group_failover::log_order(std::string_view event, const instance_id& instance,
                               const std::optional<instance_status>& status,
                               boot_time asked_at) const {
    event_line line{event};
    line.field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("instance", instance)
        .field("term", hold_term_)
        .field("answered", status.has_value());
    if (status) {
        line.field("leads", status->is_primary)
            .field("position", status->received)
            .field("held", status->held);
    }
    line.field_ms("age_ms", boot_clock::now() - asked_at).write();
}

asio::awaitable<std::optional<promotion_choice>> group_failover::prepare_target(
    failover_kind kind) {
    held_replicas_.clear();
    auto choice = co_await hold_replicas(kind);
    if (!choice) {
        co_return std::nullopt;
    }
    // A replica that started after the hold can still acknowledge commits of a live primary. After
    // the primary has stepped down, the replicas in a fresh directory have every acknowledged
    // commit between them.
    const auto former_primary = co_await demote_primary();
    if (!former_primary) {
        co_await wait_until_primary_unused();
    }
    co_await environment_.read_directory();
    co_return co_await choose_target(kind, former_primary);
}

asio::awaitable<std::optional<promotion_choice>> group_failover::choose_target(
    failover_kind kind, std::optional<instance_status> former_primary) {
    const auto deadline = steady_clock::now() + hold_timeout;
    while (steady_clock::now() < deadline) {
        auto choice = co_await hold_replicas(kind);
        if (!choice) {
            co_return std::nullopt;
        }
        auto others = co_await find_unheld_logs(former_primary);
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
        co_await sleep(check_interval);
    }
    co_return std::nullopt;
}

asio::awaitable<unheld_logs> group_failover::find_unheld_logs(
    std::optional<instance_status> former_primary) {
    unheld_logs result;
    result.sync_replicas = group_->sync_replicas();
    const auto holders = group_->log_holders();
    if (former_primary && primary_is_recorded() && !primary_has_predecessor(holders)) {
        result.former_primary = former_primary->received;
    }
    for (const auto& holder : holders) {
        auto log = co_await find_log(holder);
        add_log(result, std::move(log));
    }
    co_return result;
}

asio::awaitable<counted_log> group_failover::find_log(log_holder holder) {
    if (group_->is_listed(holder)) {
        if (group_->primary() == holder.instance) {
            co_return find_primary_log(holder);
        }
        const auto held = held_logs_.find(holder);
        if (held != held_logs_.end()) {
            co_return counted_log{holder, log_state::held, held->second.received};
        }
        co_return counted_log{holder, log_state::not_held};
    }
    if (group_->is_listed(holder.instance)) {
        co_return counted_log{holder, log_state::earlier_process};
    }
    if (group_->has_ended(holder)) {
        co_return counted_log{holder, log_state::successor_only};
    }
    if (group_->primary() == holder.instance) {
        co_return find_primary_log(holder);
    }
    co_return co_await hold_unlisted(holder);
}

counted_log group_failover::find_primary_log(const log_holder& holder) const {
    if (!stepped_down_ || stepped_down_->first != holder) {
        return {holder, log_state::primary_silent};
    }
    // If it has started again, what it has acknowledged before may be gone, and its earlier process
    // counts as an unknown log of its own.
    const bool is_known = primary_is_recorded() || primary_has_predecessor(group_->log_holders());
    return {holder, is_known ? log_state::stepped_down : log_state::primary_unrecorded,
            stepped_down_->second};
}

bool group_failover::primary_is_recorded() const {
    return stepped_down_ && group_->last_failover().log_holders.contains(stepped_down_->first);
}

bool group_failover::primary_has_predecessor(const std::set<log_holder>& holders) const {
    if (!stepped_down_) {
        return false;
    }
    const auto& primary = stepped_down_->first;
    return std::any_of(holders.begin(), holders.end(), [&](const auto& other) {
        return other != primary &&
               (other.instance == primary.instance || other.address == primary.address);
    });
}

asio::awaitable<counted_log> group_failover::hold_unlisted(log_holder holder) {
    const auto answer = co_await send_hold(holder);
    if (answer.has_other_id) {
        // An instance that takes over the address has a log of the group, but may not have received
        // all of the earlier one yet.
        log_holder any_instance;
        any_instance.address = holder.address;
        const auto successor = co_await send_hold(std::move(any_instance));
        counted_log log{holder, log_state::successor_only};
        if (successor.status) {
            log.position = successor.status->received;
        }
        co_return log;
    }
    if (!answer.status) {
        co_return counted_log{holder, answer.is_running ? log_state::refused : log_state::silent};
    }
    const bool is_held = !answer.status->is_primary && answer.status->held == hold_term_;
    co_return counted_log{holder, is_held ? log_state::held_unlisted : log_state::refused,
                          answer.status->received};
}

asio::awaitable<instance_orders::unlisted_answer> group_failover::send_hold(log_holder holder) {
    const backend_request request = backend_hold{hold_term_};
    const auto asked_at = boot_clock::now();
    const auto answer = co_await orders_.send_unlisted(holder.instance, holder.address, request);
    log_order("unlisted_hold", holder.instance, answer.status, asked_at);
    if (answer.is_running) {
        // The request may have been executed although its answer was lost.
        held_replicas_.insert(std::move(holder));
    }
    co_return answer;
}

asio::awaitable<unheld_logs> group_failover::ask_lost_instances(unheld_logs known) {
    const auto holders = group_->log_holders();
    const auto lost = group_->lost_instances(steady_clock::now());
    for (const auto& holder : lost) {
        if (holders.contains(holder)) {
            continue;
        }
        auto log = co_await hold_unlisted(holder);
        if (log.state != log_state::silent) {
            add_log(known, std::move(log));
        }
    }
    co_return known;
}

asio::awaitable<std::optional<instance_status>> group_failover::demote_primary() {
    stepped_down_.reset();
    const auto primary = group_->primary();
    if (!primary) {
        co_return std::nullopt;
    }
    const auto entries = group_->entries();
    const auto entry = std::find_if(entries.begin(), entries.end(),
                                    [&](const auto& item) { return item.id == primary; });
    const backend_request request = backend_step_down{hold_term_};
    const auto asked_at = boot_clock::now();
    const auto status = co_await orders_.send(*primary, request);
    log_order("step_down", *primary, status, asked_at);
    if (!status || status->is_primary) {
        co_return std::nullopt;
    }
    if (entry != entries.end()) {
        stepped_down_.emplace(log_holder_of(*entry), status->received);
    }
    co_return status;
}

asio::awaitable<void> group_failover::announce(std::uint64_t fence) {
    const auto self = shared_from_this();
    while (promoting_ && lock_.record.fence == fence && lock_.record.open) {
        try {
            auto group = group_->name();
            const auto told = co_await environment_.announce_begun(std::move(group), fence);
            if (lock_.record.fence != fence) {
                co_return;
            }
            add_to_census(told);
            const auto unconfirmed = told.unconfirmed.size();
            event_line{"failover_announced"}
                .field("group", group_->name())
                .field("fence", fence)
                .field("unconfirmed", unconfirmed)
                .write();
            if (unconfirmed == 0) {
                confirmed_fence_ = fence;
                co_return;
            }
        } catch (const error& failure) {
            event_line{"failover_not_announced"}
                .field("group", group_->name())
                .field("fence", fence)
                .field("reason", failure.what())
                .write();
        }
        co_await sleep(check_interval);
    }
}

void group_failover::add_to_census(const failover_announcement& told) {
    for (const auto& answer : told.confirmed) {
        // A process that confirms acknowledges nothing more, so its first answer remains true.
        census_.confirmed.emplace(answer.host, answer);
    }
    census_.unconfirmed = told.silent;
    census_.unconfirmed.insert(told.unconfirmed.begin(), told.unconfirmed.end());
    std::erase_if(census_.unconfirmed,
                  [&](const auto& item) { return census_.confirmed.contains(item.first); });
    census_.is_announced = true;
}

census_result group_failover::evaluate_acknowledgements() {
    census_.own = {environment_.self, environment_.process_started, group_->acknowledged(),
                   std::nullopt};
    return evaluate_census(census_, group_->proven_position(uncovered_before(census_)));
}

std::optional<log_index> group_failover::acknowledged_here() const {
    return group_->acknowledged().value_or(acknowledged_bounds{}).up_to;
}

void group_failover::record_decision(target_verdict verdict, std::optional<promotion_choice> choice,
                                     const unheld_logs& others) {
    promotion_decision decision;
    decision.fence = lock_.record.fence;
    decision.verdict = verdict;
    decision.choice = std::move(choice);
    decision.replicas = candidates_;
    decision.held_at = held_at_;
    decision.others = others;
    decision.acknowledged = evaluate_acknowledgements();
    decision.census = census_;
    decisions_.record(decision);
}

asio::awaitable<void> group_failover::wait_until_primary_unused() {
    constexpr milliseconds poll_interval{10};
    const auto started = boot_clock::now();
    const auto unused_at = lock_acquired_at_ + leadership_evidence::expiry_wait;
    while (confirmed_fence_ != lock_.record.fence && boot_clock::now() < unused_at) {
        co_await sleep(poll_interval);
    }
    event_line{"primary_unused"}
        .field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("confirmed", confirmed_fence_ == lock_.record.fence)
        .field_ms("waited_ms", boot_clock::now() - started)
        .write();
}

asio::awaitable<instance_orders::order_answer> group_failover::query_status(instance_id instance,
                                                                            time_point deadline) {
    const backend_request request = backend_status{};
    auto answer = co_await orders_.send_until(instance, request, deadline);
    if (answer.status) {
        group_->on_status(instance, *answer.status);
    }
    co_return answer;
}

asio::awaitable<group_failover::survey_result> group_failover::survey_instances() {
    const auto entries = group_->entries();
    const auto known = group_->primary();
    const auto started = steady_clock::now();
    const bool was_dead = group_->primary_is_dead(started);
    const auto deadline = started + survey_timeout;
    const auto pending = std::make_shared<pending_answers>(
        pending_answers{std::vector<instance_orders::order_answer>(entries.size()), entries.size(),
                        asio::steady_timer{environment_.executor, deadline}});
    for (std::size_t index = 0; index < entries.size(); ++index) {
        asio::co_spawn(
            environment_.executor,
            [self = shared_from_this(), instance = entries[index].id, deadline] {
                return self->query_status(instance, deadline);
            },
            [pending, index](const std::exception_ptr& failure,
                             const instance_orders::order_answer& answer) {
                if (!failure) {
                    pending->answers[index] = answer;
                }
                if (--pending->missing == 0) {
                    pending->timer.cancel();
                }
            });
    }
    if (pending->missing > 0) {
        boost::system::error_code ignored;
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    survey_result result;
    bool found = false;
    bool refused = false;
    bool has_status = false;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto& id = entries[index].id;
        const auto& [answered, status] = pending->answers[index];
        if (known == id) {
            refused = answered && !status;
            has_status = status.has_value();
        } else if (answered) {
            ++result.replicas_answered;
        }
        found = found || (status && status->is_primary && group_->primary() == id &&
                          status->term >= group_->newest_term());
    }
    // A primary that answers but can't commit counts as dead too.
    const bool is_dead = group_->primary_is_dead(steady_clock::now());
    // It may have answered another request in the meantime, or the first part of this one.
    const bool other_answer = was_dead && !has_status;
    const bool known_is_alive = known && known == group_->primary() && (refused || other_answer);
    result.has_primary = !is_dead && (found || known_is_alive);
    co_return result;
}

asio::awaitable<std::optional<primary_verdict>> group_failover::assess_primary() {
    const auto primary = group_->primary();
    // The instances are asked after the other hosts, so that the silence of the primary counts only
    // if messages to others are answered at the same time.
    const bool ask_hosts_first = group_->primary_is_dead(steady_clock::now());
    primary_inquiry inquiry;
    if (ask_hosts_first) {
        inquiry.replies = co_await query_primary();
    }
    if (!inquiry.reports_alive()) {
        const auto survey = co_await survey_instances();
        if (survey.has_primary) {
            suspicion_.clear();
            co_return std::nullopt;
        }
        inquiry.replicas_answered = survey.replicas_answered;
    }
    if (!ask_hosts_first) {
        inquiry.replies = co_await query_primary();
    }
    const auto verdict = suspicion_.assess(primary, inquiry, steady_clock::now());
    log_verdict(primary.value_or(instance_id{"none"}), verdict, inquiry);
    if (verdict == primary_verdict::alive && primary) {
        group_->on_primary_reported_alive(*primary);
    }
    co_return verdict;
}

asio::awaitable<primary_replies> group_failover::query_primary() {
    const auto primary = group_->primary();
    const auto entries = group_->entries();
    const auto entry = std::find_if(entries.begin(), entries.end(),
                                    [&](const auto& item) { return item.id == primary; });
    if (entry == entries.end()) {
        co_return primary_replies{};
    }
    auto group = group_->name();
    auto suspect = *entry;
    co_return co_await environment_.query_primary(std::move(group), std::move(suspect));
}

void group_failover::log_verdict(const instance_id& instance, primary_verdict verdict,
                                 const primary_inquiry& inquiry) const {
    event_line line{verdict == primary_verdict::alive ? "primary_reported_alive"
                                                      : "primary_verdict"};
    line.field("group", group_->name())
        .field("instance", instance)
        .field("verdict", to_string(verdict))
        .field("asked", inquiry.asked())
        .field("replied", inquiry.replied())
        .field("replicas_answered", inquiry.replicas_answered);
    if (const auto age = inquiry.newest_answer_age()) {
        line.field_ms("answer_age_ms", *age);
    }
    line.write();
}

asio::awaitable<bool> group_failover::acquire_lock() {
    const auto now = steady_clock::now();
    const auto read_at = boot_clock::now();
    const auto observed = co_await rows_.read();
    if (adopt_result(observed, read_at) || required_failover(now) == failover_kind::none) {
        co_return false;
    }
    const auto& known = group_->last_failover();
    const bool known_to_have_ended = !known.open && known.fence >= observed.record.fence;
    const bool held_by_other =
        observed.record.open && observed.holder != environment_.self && !known_to_have_ended;
    if (held_by_other) {
        if (foreign_version_ != observed.version) {
            foreign_version_ = observed.version;
            foreign_since_ = now;
        }
        if (now - foreign_since_ < lock_expiry) {
            co_return false;
        }
    }
    // A restore of the store may have replaced the newest record.
    auto record = known.fence > observed.record.fence ? known : observed.record;
    if (record.log_holders.empty()) {
        // The row is unreadable, or a host of an earlier release has written it.
        record.log_holders = known.log_holders;
    }
    // A restore of the store may have erased the mark of a request that was sent.
    record.request_pending =
        known.request_pending || (record.request_pending && !known_to_have_ended);
    record.fence = std::max(record.fence, fence_base(observed.era)) + 1;
    record.open = true;
    const auto valid_until = boot_clock::now() + lock_expiry;
    const auto version = co_await rows_.write(record, {observed.version, observed.era});
    if (!version) {
        co_return false;
    }
    lock_ = {record, environment_.self, *version, observed.era};
    took_over_ = held_by_other;
    lock_valid_until_ = valid_until;
    lock_acquired_at_ = boot_clock::now();
    co_return true;
}

asio::awaitable<bool> group_failover::renew_lock() {
    for (;;) {
        const auto now = boot_clock::now();
        try {
            const auto version = co_await rows_.write(lock_.record, {lock_.version, lock_.era});
            if (!version) {
                event_line{"failover_lock_lost"}
                    .field("group", group_->name())
                    .field("fence", lock_.record.fence)
                    .field("era", lock_.era)
                    .write();
                co_return false;
            }
            lock_.version = *version;
            lock_valid_until_ = now + lock_expiry;
            co_return true;
        } catch (const error&) {
            // `write` has logged the failure.
            if (boot_clock::now() + check_interval >= lock_valid_until_) {
                throw;
            }
        }
        co_await sleep(check_interval);
    }
}

bool group_failover::adopt_result(const failover_row& observed, boot_time read_at) {
    const auto previous = group_->primary();
    if (observed.version != fleet_version{}) {
        group_->on_failover_row(observed.record, read_at, observed.era);
    }
    return group_->primary() != previous;
}

asio::awaitable<void> group_failover::release_lock() {
    if (lock_.record.request_pending) {
        event_line{"failover_left_open"}
            .field("group", group_->name())
            .field("fence", lock_.record.fence)
            .write();
        co_return;
    }
    lock_.record.open = false;
    const auto written_at = boot_clock::now();
    // If the row stays open, another host acquires the lock after `lock_expiry`.
    if (co_await rows_.write(lock_.record, {lock_.version, lock_.era})) {
        group_->on_failover_row(lock_.record, written_at, lock_.era);
        environment_.announce_recorded(group_->name(), lock_.record.fence);
    }
}

asio::awaitable<void> group_failover::record_promotion(instance_id target, term_number term) {
    lock_.record.target = std::move(target);
    lock_.record.term = term;
    lock_.record.open = false;
    lock_.record.request_pending = false;
    const auto deadline = steady_clock::now() + record_timeout;
    while (steady_clock::now() < deadline) {
        const auto written_at = boot_clock::now();
        try {
            const auto version = co_await rows_.write(lock_.record, {lock_.version, lock_.era});
            if (version) {
                group_->on_failover_row(lock_.record, written_at, lock_.era);
                environment_.announce_recorded(group_->name(), lock_.record.fence);
                co_return;
            }
            const auto row = co_await rows_.read();
            if (row.era != lock_.era && !row.record.open) {
                // A restore of the store has erased the lock, and nobody has acquired it since.
                lock_.version = row.version;
                lock_.era = row.era;
                lock_.record.fence = std::max(row.record.fence, fence_base(row.era)) + 1;
            } else if (row.version != lock_.version || row.era != lock_.era) {
                co_return;
            }
        } catch (const error& failure) {
            event_line{"failover_not_recorded"}
                .field("group", group_->name())
                .field("fence", lock_.record.fence)
                .field("reason", failure.what())
                .write();
        }
        co_await sleep(check_interval);
    }
}

asio::awaitable<std::optional<promotion_choice>> group_failover::hold_replicas(failover_kind kind) {
    held_logs_.clear();
    hold_term_ = group_->newest_term().next();
    const backend_request request = backend_hold{hold_term_};
    const auto deadline = steady_clock::now() + hold_timeout;
    unheld_logs not_asked;
    not_asked.sync_replicas = group_->sync_replicas();
    while (steady_clock::now() < deadline) {
        candidates_.clear();
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
            if (candidate.held) {
                held_replicas_.insert(log_holder_of(entry));
                held_logs_.insert_or_assign(log_holder_of(entry), *candidate.held);
                if (candidate.held->is_primary || candidate.held->term >= hold_term_) {
                    // Another promotion has finished; `survey_instances` will find its primary.
                    candidates_.push_back(std::move(candidate));
                    record_decision(promotion_refusal::superseded, std::nullopt, not_asked);
                    co_return std::nullopt;
                }
            }
            candidates_.push_back(std::move(candidate));
        }
        const auto choice = choose_promotion_target(candidates_, hold_term_);
        if (choice) {
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
        if (row.record.open && row.record.fence != resume_fence_) {
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

asio::awaitable<void> group_failover::end_attempt(bool request_pending) {
    lock_.record.request_pending = request_pending;
    co_await release_replicas();
    co_await release_lock();
}

asio::awaitable<group_failover::target_state> group_failover::check_target(
    const promotion_choice& choice) {
    const backend_request status_request = backend_status{};
    const auto asked_at = boot_clock::now();
    const auto deadline = steady_clock::now() + target_status_timeout;
    auto answer = co_await orders_.send_until(choice.target, status_request, deadline);
    if (answer.answered && !answer.status) {
        // A busy instance refuses a status request only. If it has started again, this holds it
        // once more, but at another position.
        const backend_request hold_request = backend_hold{hold_term_};
        answer = co_await orders_.send_until(choice.target, hold_request, deadline);
    }
    const auto& status = answer.status;
    if (!status) {
        log_order("target_status", choice.target, status, asked_at);
        co_return target_state::silent;
    }
    if (status->is_primary) {
        co_return target_state::leads;
    }
    if (status->held == hold_term_ && status->received == choice.position) {
        co_return target_state::unchanged;
    }
    log_order("target_changed", choice.target, status, asked_at);
    co_return target_state::changed;
}

void group_failover::report_unsafe_order(const promotion_choice& choice, std::string_view reason) {
    event_line{"promotion_order_unsafe", event_severity::warning}
        .field("group", group_->name())
        .field("fence", lock_.record.fence)
        .field("target", choice.target)
        .field("position", choice.position)
        .field("reason", reason)
        .write();
    environment_.metrics.count("masticgrade_promotion_orders_unsafe_total",
                               "Promotion requests whose target has lost its log.",
                               std::string{reason});
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

asio::awaitable<std::optional<term_number>> group_failover::promote(promotion_choice choice) {
    const auto started = steady_clock::now();
    const bool earlier_requests_pending = lock_.record.request_pending;
    bool own_request_pending = false;
    // A target that is silent before the first request may be replaced by another attempt.
    const auto deadline = [&] {
        return started + (own_request_pending ? duration{promote_timeout} : duration{hold_timeout});
    };
    lock_.record.request_pending = true;
    while (steady_clock::now() < deadline()) {
        if (!co_await renew_lock()) {
            co_return std::nullopt;
        }
        const auto state = co_await check_target(choice);
        if (state == target_state::silent) {
            co_await sleep(check_interval);
            continue;
        }
        const bool any_request_pending = earlier_requests_pending || own_request_pending;
        if (state == target_state::changed ||
            (state == target_state::leads && !any_request_pending)) {
            if (state == target_state::changed && own_request_pending) {
                report_unsafe_order(choice, "request_pending");
            }
            co_await end_attempt(any_request_pending);
            co_return std::nullopt;
        }
        const auto outcome = co_await environment_.promotions.promote(
            group_->name(), choice.target, lock_.record.fence,
            steady_clock::now() + promote_call_timeout);
        log_request(choice.target, outcome);
        if (outcome == promotion_outcome::refused) {
            co_await end_attempt(any_request_pending);
            co_return std::nullopt;
        }
        own_request_pending = own_request_pending || outcome == promotion_outcome::unknown;
        const auto term = co_await wait_until_primary(choice);
        // Without an answer, the platform may not know this fencing token yet, and would still
        // carry out earlier requests for other targets.
        if (term && (outcome == promotion_outcome::done || !earlier_requests_pending)) {
            co_return term;
        }
        own_request_pending = true;
    }
    if (!own_request_pending) {
        co_await end_attempt(earlier_requests_pending);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<term_number>> group_failover::wait_until_primary(
    promotion_choice choice) {
    const auto& target = choice.target;
    const auto deadline = steady_clock::now() + new_primary_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline) {
        co_await sleep(check_interval);
        const auto status = co_await orders_.send(target, status_request);
        if (status && status->is_primary) {
            if (status->received < choice.position) {
                report_unsafe_order(choice, "log_lost");
            }
            group_->on_status(target, *status);
            group_->set_primary(target, status->term, "promotion");
            co_return status->term;
        }
        if (!status) {
            co_await environment_.read_directory();
        }
        if (group_->claims_primary(target)) {
            group_->set_primary(target, hold_term_, "promotion");
            co_return hold_term_;
        }
    }
    co_return std::nullopt;
}

}  // namespace masticgrade
