#include "statement_service.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "write_attempt.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// How long a replica may delay a read until it has applied the session's position. A longer wait
/// costs more than a read on the primary.
constexpr milliseconds replica_wait{20};
constexpr milliseconds record_wait{500};

/// Deadline of one attempt of a read. Reads can be retried, so an unresponsive connection may use
/// only part of the remaining time.
time_point attempt_deadline(time_point deadline, time_point now) {
    constexpr int timeout_divisor = 3;
    constexpr milliseconds min_timeout{200};
    return std::min(deadline,
                    now + std::max<duration>((deadline - now) / timeout_divisor, min_timeout));
}

double random_fraction() {
    thread_local std::minstd_rand random{std::random_device{}()};
    return std::uniform_real_distribution<double>{0, 1}(random);
}

std::optional<session_position> position_in(const session& caller_session, const group_id& group) {
    const auto found = caller_session.positions.find(group);
    if (found == caller_session.positions.end()) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace

statement_service::statement_service(std::shared_ptr<fleet_state> fleet,
                                     new_work_check new_work_refusal, options settings)
    : fleet_(std::move(fleet)),
      new_work_refusal_(std::move(new_work_refusal)),
      options_(std::move(settings)) {}

asio::awaitable<statement_result> statement_service::run(statement_request request) {
    statement_result result;
    result.caller_session = request.caller_session;
    if (const auto reason = new_work_refusal_()) {
        result.answer = refuse(refusal::unavailable, "freshness", *reason);
        co_return result;
    }
    const auto group = fleet_->group(request.group);
    if (!group) {
        result.answer = refuse(refusal::not_found, "route", "the route's group does not exist");
        co_return result;
    }
    retries_.on_request();
    group->mark_active(steady_clock::now());
    if (!request.is_write) {
        result.answer = co_await read(request, *group);
        co_return result;
    }
    write_request write;
    write.customer = request.customer;
    write.statement = std::move(request.statement);
    write.idempotency = request.idempotency;
    write.session_term =
        position_in(request.caller_session, request.group).value_or(session_position{}).term;
    write.deadline = request.deadline;
    auto written = co_await run_write(*group, std::move(write), new_work_refusal_);
    result.answer = std::move(written.answer);
    if (result.answer.kind == outcome_kind::done) {
        result.caller_session.advance(request.group, written.position);
    }
    co_return result;
}

asio::awaitable<outcome> statement_service::read(const statement_request& request,
                                                 group_runtime& group) {
    bool primary_only = options_.primary_reads_only;
    while (steady_clock::now() < request.deadline) {
        const auto version = group.record().version;
        if (auto answer = co_await try_read(request, group, primary_only)) {
            co_return std::move(*answer);
        }
        // A read is not retried on a replica, because it may be behind or unreachable again.
        if (primary_only) {
            const auto until = std::min(request.deadline, steady_clock::now() + replica_wait);
            co_await group.wait_for_newer_record(version, until);
        }
        primary_only = true;
        if (!retries_.try_retry()) {
            co_return refuse(refusal::unavailable, "retry", "too many reads are being retried");
        }
    }
    co_return refuse(refusal::late, "read", "no instance answered before the deadline");
}

/// Returns nothing when the read should be tried again on the primary.
asio::awaitable<std::optional<outcome>> statement_service::try_read(
    const statement_request& request, group_runtime& group, bool primary_only) {
    const auto record = group.record();
    read_request criteria;
    criteria.freshness = request.freshness;
    criteria.session = position_in(request.caller_session, request.group);
    criteria.own_domain = options_.own_domain;
    criteria.random = random_fraction();
    criteria.primary_only = primary_only;
    const auto decision = select_read_target(criteria, record, group.views(steady_clock::now()));
    if (std::holds_alternative<routing_refusal>(decision)) {
        const auto until = std::min(request.deadline, steady_clock::now() + record_wait);
        co_await group.wait_for_newer_record(record.version, until);
        co_return std::nullopt;
    }
    const auto target = std::get<read_target>(decision);
    const auto instance = group.config().instances[target.instance].id;
    auto acquired = co_await group.link(instance).acquire(request.customer, request.deadline);
    if (std::holds_alternative<acquire_refused>(acquired)) {
        co_return std::nullopt;
    }
    if (const auto reason = new_work_refusal_()) {
        co_return refuse(refusal::unavailable, "freshness", *reason);
    }
    database_request call;
    call.call = database_call::execute_read;
    call.term = record.term;
    call.customer = request.customer;
    call.statement = request.statement;
    call.position = target.min_position;
    call.wait = target.is_replica ? replica_wait : milliseconds{0};
    const auto sent_at = steady_clock::now();
    database_reply reply;
    try {
        auto& lease = std::get<connection_lease>(acquired);
        reply = co_await lease.call(std::move(call), attempt_deadline(request.deadline, sent_at));
        if (reply.status == database_status::too_many_connections) {
            lease.discard();
        }
    } catch (const request_error&) {
        co_return std::nullopt;
    }
    group.on_reply(instance, reply, sent_at);
    if (reply.status == database_status::error) {
        co_return refuse(refusal::statement_failed, "execute", reply.reason, instance.str());
    }
    // An instance at another term may hold entries that are missing from the current primary's log.
    if (reply.status != database_status::ok || reply.term != record.term) {
        co_return std::nullopt;
    }
    outcome answer;
    answer.kind = outcome_kind::done;
    answer.result = std::move(reply.result);
    answer.served_by = instance;
    answer.served_by_replica = target.is_replica;
    co_return answer;
}

}  // namespace masticgrade
