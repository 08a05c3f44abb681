#include "group_failover.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

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

}  // namespace

asio::awaitable<instance_orders::order_answer> group_failover::query_status(instance_id instance,
                                                                            time_point deadline) {
    const backend_request request = backend_status{};
    const auto seen_before = group_->highest_position(instance);
    auto answer = co_await orders_.send_until(instance, request, deadline);
    if (answer.status) {
        group_->on_status(instance, *answer.status, seen_before);
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

}  // namespace masticgrade
