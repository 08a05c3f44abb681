#include "write_attempt.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>
#include <variant>

#include "masticgrade/base/log.hpp"
#include "masticgrade/connection/outcome_resolution.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"write"};

/// An attempt of an idempotent write times out after the remaining time divided by this, which
/// leaves time to resolve its outcome.
constexpr int attempt_timeout_divisor = 2;
constexpr milliseconds min_attempt_timeout{200};
constexpr milliseconds retry_delay{30};
/// Exceeding this limit means that every attempt under the key is being cancelled.
constexpr unsigned max_attempts = 16;

idempotency_key attempt_key(const idempotency_key& key, unsigned attempt) {
    if (key.empty()) {
        return {};
    }
    return idempotency_key{fmt::format("{}#{}", key, attempt)};
}

// Results of one step of a write: the final result or what to do next.

struct retry_now {};
struct retry_later {
    std::string reason;
    std::string peer;
};
/// The attempt may have run; its outcome must be resolved before another attempt.
struct resolve_outcome {
    std::string reason;
    std::string peer;
};
/// The attempt's key was cancelled, so the next attempt needs a new key.
struct next_attempt {};
using step_result =
    std::variant<write_result, retry_now, retry_later, resolve_outcome, next_attempt>;

class write_runner {
public:
    write_runner(group_runtime& group, write_request request, start_check new_work_refusal)
        : group_(group),
          request_(std::move(request)),
          new_work_refusal_(std::move(new_work_refusal)) {}

    /// Sends the commit and resolves its outcome if the answer is lost.
    asio::awaitable<write_result> run_commit(const group_record& record, connection_lease& lease) {
        is_commit_ = true;
        auto step = co_await send(record, lease, database_call::commit);
        if (auto* result = std::get_if<write_result>(&step)) {
            if (result->answer.kind == outcome_kind::done) {
                lease.mark_reusable();
            }
            co_return std::move(*result);
        }
        if (const auto* later = std::get_if<retry_later>(&step)) {
            // The instance refused the commit, or it was not sent: the transaction is rolled back.
            co_return refused("commit", later->reason, later->peer);
        }
        co_await apply_step(step, record);
        co_return co_await run();
    }

    asio::awaitable<write_result> run() {
        while (steady_clock::now() < request_.deadline) {
            if (is_commit_ && !must_resolve_) {
                co_return refused("commit", "the idempotency key of this commit was cancelled", {},
                                  refusal::cancelled);
            }
            const auto record = group_.record();
            if (!must_resolve_ && !has_current_primary(record)) {
                last_reason_ = "no current primary is known";
                co_await group_.wait_for_newer_record(record.version, request_.deadline);
                continue;
            }
            step_result step;
            if (must_resolve_) {
                step = co_await resolve_attempt();
            } else {
                step = co_await execute(record);
            }
            if (auto* result = std::get_if<write_result>(&step)) {
                co_return std::move(*result);
            }
            co_await apply_step(step, record);
        }
        co_return deadline_exceeded();
    }

private:
    [[nodiscard]] bool has_current_primary(const group_record& record) const {
        return record.phase == group_phase::active && !record.primary.empty() &&
               record.term >= request_.session_term;
    }

    asio::awaitable<void> apply_step(const step_result& step, const group_record& record) {
        if (std::holds_alternative<next_attempt>(step)) {
            must_resolve_ = false;
            ++attempt_;
        } else if (const auto* lost = std::get_if<resolve_outcome>(&step)) {
            must_resolve_ = true;
            record_failure(lost->reason, lost->peer);
        } else if (const auto* later = std::get_if<retry_later>(&step)) {
            record_failure(later->reason, later->peer);
            const auto until = std::min(request_.deadline, steady_clock::now() + retry_delay);
            co_await group_.wait_for_newer_record(record.version, until);
        }
    }

    void record_failure(const std::string& reason, const std::string& peer) {
        last_reason_ = reason;
        last_peer_ = peer;
    }

    asio::awaitable<step_result> execute(const group_record& record) {
        if (attempt_ > max_attempts) {
            co_return refused("write", "too many attempts were cancelled");
        }
        auto acquired =
            co_await group_.link(record.primary).acquire(request_.customer, request_.deadline);
        if (const auto* refusal = std::get_if<acquire_refused>(&acquired)) {
            co_return retry_later{refusal->reason, record.primary.str()};
        }
        if (group_.record().version != record.version) {
            co_return retry_now{};
        }
        if (const auto reason = new_work_refusal_()) {
            co_return refused("freshness", *reason);
        }
        co_return co_await send(record, std::get<connection_lease>(acquired),
                                database_call::execute_write);
    }

    asio::awaitable<step_result> send(const group_record& record, connection_lease& lease,
                                      database_call call) {
        auto request = make_request(call, record.term);
        request.statement = request_.statement;
        const auto sent_at = steady_clock::now();
        database_reply reply;
        std::optional<resolve_outcome> lost;
        try {
            reply = co_await lease.call(std::move(request), attempt_deadline(sent_at));
        } catch (const request_error& failure) {
            if (!failure.may_have_run()) {
                co_return retry_later{failure.reason(), failure.peer()};
            }
            lost = resolve_outcome{failure.reason(), failure.peer()};
        }
        if (lost) {
            co_return may_have_run(*lost);
        }
        group_.on_reply(record.primary, reply, sent_at);
        co_return co_await handle_reply(record, std::move(reply), lease);
    }

    asio::awaitable<step_result> handle_reply(const group_record& record, database_reply reply,
                                              connection_lease& lease) {
        switch (reply.status) {
            case database_status::ok:
                co_return co_await confirm(record, std::move(reply));
            case database_status::cancelled:
                co_return next_attempt{};
            case database_status::error:
                co_return refused("execute", reply.reason, record.primary.str(),
                                  refusal::statement_failed);
            case database_status::too_many_connections:
                lease.discard();
                [[fallthrough]];
            default:
                // The instance refused the statement without running it: it is not the primary, or
                // it is at a newer term than this host knows.
                co_return retry_later{"the instance refused the statement", record.primary.str()};
        }
    }

    asio::awaitable<step_result> confirm(const group_record& record, database_reply reply) {
        const auto write_status = co_await group_.confirm(
            record.term, reply.position, reply.received_position, request_.deadline);
        if (write_status == write_outcome::acknowledged) {
            write_result result;
            result.answer.kind = outcome_kind::done;
            result.answer.result = std::move(reply.result);
            result.answer.served_by = record.primary;
            result.position = {record.term, reply.position};
            co_return result;
        }
        if (write_status == write_outcome::timed_out) {
            co_return unknown_result("confirm", "no majority confirmed the write in time",
                                     record.primary.str());
        }
        co_return may_have_run(
            {"the primary was replaced before the write was confirmed", record.primary.str()});
    }

    /// Resolves the outcome of an attempt whose answer was lost.
    asio::awaitable<step_result> resolve_attempt() {
        outcome_resolution resolution{request_.deadline};
        auto record = group_.record();
        auto actions = apply_record(resolution, record);
        for (;;) {
            const auto action = actions.empty() ? std::nullopt : std::optional{actions.front()};
            if (!action) {
                const auto until = std::min(resolution.next_wakeup(), request_.deadline);
                co_await group_.wait_for_newer_record(record.version, until);
                record = group_.record();
                actions = apply_record(resolution, record);
                if (actions.empty()) {
                    actions = resolution.on_timer(steady_clock::now());
                }
            } else if (const auto* cancel = std::get_if<send_cancel>(&*action)) {
                const auto answer = co_await cancel_attempt(*cancel);
                actions = resolution.on_cancel(answer, steady_clock::now());
            } else if (const auto* confirmation = std::get_if<confirm_cancel>(&*action)) {
                const auto write_status =
                    co_await group_.confirm(confirmation->term, confirmation->position,
                                            primary_received_, confirmation->deadline);
                actions = resolution.on_confirmed(confirmation->term, confirmation->position,
                                                  write_status == write_outcome::acknowledged,
                                                  steady_clock::now());
            } else {
                co_return finish_resolution(std::get<resolution_finished>(*action), record);
            }
        }
    }

    static resolution_actions apply_record(outcome_resolution& resolution,
                                           const group_record& record) {
        const auto now = steady_clock::now();
        if (record.phase != group_phase::active || record.primary.empty()) {
            return resolution.on_sealing(record.term, now);
        }
        return resolution.on_primary(record.primary, record.term, now);
    }

    asio::awaitable<cancel_answer> cancel_attempt(const send_cancel& action) {
        cancel_answer answer;
        answer.term = action.term;
        auto acquired =
            co_await group_.link(action.primary).acquire(request_.customer, action.deadline);
        if (const auto* refusal = std::get_if<acquire_refused>(&acquired)) {
            record_failure(refusal->reason, action.primary.str());
            co_return answer;
        }
        auto request = make_request(database_call::cancel, action.term);
        const auto sent_at = steady_clock::now();
        try {
            auto& lease = std::get<connection_lease>(acquired);
            auto reply = co_await lease.call(std::move(request), action.deadline);
            group_.on_reply(action.primary, reply, sent_at);
            answer.position = reply.position;
            primary_received_ = reply.received_position;
            answer.result = boost::json::serialize(reply.result);
            answer.status = to_cancel_status(reply.status);
        } catch (const request_error& failure) {
            record_failure(failure.reason(), failure.peer());
        }
        co_return answer;
    }

    static cancel_status to_cancel_status(database_status status) {
        switch (status) {
            case database_status::found:
                return cancel_status::found;
            case database_status::cancelled:
                return cancel_status::cancelled;
            case database_status::stale_term:
            case database_status::not_primary:
                return cancel_status::not_primary;
            default:
                return cancel_status::failed;
        }
    }

    step_result finish_resolution(const resolution_finished& finished, const group_record& record) {
        log.info("Resolved a write whose answer was lost group={} outcome={} term={} position={}.",
                 group_.config().name,
                 finished.outcome == resolved_outcome::done      ? "done"
                 : finished.outcome == resolved_outcome::not_run ? "not_run"
                                                                 : "unknown",
                 finished.term, finished.position);
        if (finished.outcome == resolved_outcome::not_run) {
            return next_attempt{};
        }
        if (finished.outcome == resolved_outcome::outcome_unknown) {
            return unknown_result("resolve", last_reason_, last_peer_);
        }
        write_result result;
        result.answer.kind = outcome_kind::done;
        result.answer.result = boost::json::parse(finished.result);
        result.answer.served_by = record.primary;
        result.position = {finished.term, finished.position};
        return result;
    }

    [[nodiscard]] database_request make_request(database_call call, term_number term) const {
        database_request request;
        request.call = call;
        request.term = term;
        request.customer = request_.customer;
        request.idempotency = attempt_key(request_.idempotency, attempt_);
        return request;
    }

    [[nodiscard]] time_point attempt_deadline(time_point now) const {
        if (request_.idempotency.empty()) {
            return request_.deadline;
        }
        const auto attempt_time = std::max<duration>(
            (request_.deadline - now) / attempt_timeout_divisor, min_attempt_timeout);
        return std::min(request_.deadline, now + attempt_time);
    }

    [[nodiscard]] step_result may_have_run(const resolve_outcome& lost) const {
        if (request_.idempotency.empty()) {
            return unknown_result("execute", lost.reason, lost.peer);
        }
        return lost;
    }

    [[nodiscard]] write_result unknown_result(const std::string& step, const std::string& reason,
                                              const std::string& peer) const {
        return {unknown(step, peer, reason, !request_.idempotency.empty()), {}};
    }

    static write_result refused(const std::string& step, const std::string& reason,
                                const std::string& peer = {},
                                refusal cause = refusal::unavailable) {
        return {refuse(cause, step, reason, peer), {}};
    }

    [[nodiscard]] write_result deadline_exceeded() const {
        if (must_resolve_) {
            return unknown_result("resolve", last_reason_, last_peer_);
        }
        return {refuse(refusal::late, "execute", last_reason_, last_peer_), {}};
    }

    group_runtime& group_;
    write_request request_;
    start_check new_work_refusal_;
    unsigned attempt_ = 1;
    bool must_resolve_ = false;
    bool is_commit_ = false;
    /// The received position from the primary's last answer to a cancel call.
    log_position primary_received_;
    std::string last_reason_ = "the deadline passed before the write was sent";
    std::string last_peer_;
};

}  // namespace

asio::awaitable<write_result> run_write(group_runtime& group, write_request request,
                                        start_check new_work_refusal) {
    write_runner runner{group, std::move(request), std::move(new_work_refusal)};
    co_return co_await runner.run();
}

asio::awaitable<write_result> run_commit(group_runtime& group, connection_lease& lease,
                                         commit_request request) {
    write_request write;
    write.customer = std::move(request.customer);
    write.idempotency = std::move(request.idempotency);
    write.deadline = request.deadline;
    write_runner runner{group, std::move(write), [] { return std::nullopt; }};
    co_return co_await runner.run_commit(request.record, lease);
}

}  // namespace masticgrade
