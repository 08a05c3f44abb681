#include "transaction_service.hpp"

#include <utility>
#include <variant>
#include <vector>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "random_id.hpp"
#include "write_attempt.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"transaction"};

/// Idle transactions are rolled back after this time, because each holds a connection.
constexpr seconds idle_limit{10};

/// Limits how long a caller can hold a connection by sending one statement after another.
constexpr seconds max_transaction_duration{60};

/// Reports the outcome of a commit to the state machine.
void apply_commit_outcome(transaction_state& state, outcome_kind kind) {
    const auto connection = state.connection();
    switch (kind) {
        case outcome_kind::done:
            state.answered(connection);
            state.acknowledged();
            break;
        case outcome_kind::not_run:
            state.refused(connection);
            break;
        case outcome_kind::outcome_unknown:
            state.connection_lost();
            break;
    }
}

outcome not_found() {
    return refuse(refusal::not_found, "transaction", "there is no such open transaction here");
}

}  // namespace

/// One open transaction. The service's mutex guards `state_`, `in_use_` and `idle_since_`; the
/// lease is used only by the coroutine whose statement `state_` has allowed.
class transaction_service::entry {
public:
    entry(transaction_id id, const customer_id& customer, std::shared_ptr<group_runtime> group,
          group_record record, connection_lease lease)
        : group_(std::move(group)),
          record_(std::move(record)),
          lease_(std::move(lease)),
          customer_(customer),
          state_(std::move(id), customer, lease_.number(),
                 steady_clock::now() + max_transaction_duration) {}

    std::shared_ptr<group_runtime> group_;
    /// The group record at begin; the transaction never moves to another primary.
    group_record record_;
    connection_lease lease_;
    customer_id customer_;
    transaction_state state_;
    /// Whether a statement is in progress.
    bool in_use_ = false;
    time_point idle_since_ = steady_clock::now();

    [[nodiscard]] database_request make_request(database_call call) const {
        database_request request;
        request.call = call;
        request.term = record_.term;
        request.customer = customer_;
        return request;
    }
};

transaction_service::transaction_service(std::shared_ptr<fleet_state> fleet,
                                         new_work_check new_work_refusal)
    : fleet_(std::move(fleet)), new_work_refusal_(std::move(new_work_refusal)) {}

transaction_service::~transaction_service() = default;

asio::awaitable<outcome> transaction_service::begin(customer_id customer, group_id group_name,
                                                    time_point deadline) {
    const auto group = fleet_->group(group_name);
    if (!group) {
        co_return refuse(refusal::not_found, "route", "the route's group does not exist");
    }
    group->mark_active(steady_clock::now());
    auto record = group->record();
    while (record.phase != group_phase::active || record.primary.empty()) {
        if (!co_await group->wait_for_newer_record(record.version, deadline)) {
            co_return refuse(refusal::unavailable, "begin", "no current primary is known");
        }
        record = group->record();
    }
    auto acquired =
        co_await group->link(record.primary).acquire_for_transaction(customer, deadline);
    if (const auto* refusal = std::get_if<acquire_refused>(&acquired)) {
        co_return refuse(refusal::unavailable, "begin", refusal->reason, record.primary.str());
    }
    if (const auto reason = new_work_refusal_()) {
        co_return refuse(refusal::unavailable, "freshness", *reason);
    }
    const transaction_id id{make_random_id()};
    auto created = std::make_shared<entry>(id, customer, group, record,
                                           std::get<connection_lease>(std::move(acquired)));
    auto request = created->make_request(database_call::begin);
    database_reply reply;
    try {
        reply = co_await created->lease_.call(std::move(request), deadline);
    } catch (const request_error& failure) {
        co_return refuse(refusal::unavailable, "begin", failure.reason(), failure.peer());
    }
    // The connection must not be reused before the transaction has ended.
    created->lease_.discard();
    if (reply.status != database_status::ok) {
        co_return refuse(refusal::unavailable, "begin", "the instance refused the transaction",
                         record.primary.str());
    }
    created->state_.begun(created->lease_.number());
    {
        const std::scoped_lock lock{mutex_};
        entries_.emplace(id, created);
    }
    outcome answer;
    answer.kind = outcome_kind::done;
    answer.result = boost::json::object{{"transaction", id.str()}};
    answer.served_by = record.primary;
    co_return answer;
}

asio::awaitable<outcome> transaction_service::execute(customer_id customer, transaction_id id,
                                                      bool is_write, boost::json::value statement,
                                                      time_point deadline) {
    if (const auto reason = new_work_refusal_()) {
        co_return refuse(refusal::unavailable, "freshness", *reason);
    }
    const auto claimed = claim(customer, id, transaction_statement::execute, {});
    if (const auto* refusal = std::get_if<outcome>(&claimed)) {
        co_return *refusal;
    }
    const auto& current = std::get<std::shared_ptr<entry>>(claimed);
    auto request = current->make_request(is_write ? database_call::execute_write
                                                  : database_call::execute_read);
    request.statement = std::move(statement);
    database_reply reply;
    try {
        reply = co_await current->lease_.call(std::move(request), deadline);
    } catch (const request_error& failure) {
        end(id, *current, [](transaction_state& state) { state.connection_lost(); });
        // Closing the connection rolls the transaction back, so none of its statements takes
        // effect.
        co_return refuse(refusal::unavailable, "execute",
                         "the connection was lost and the transaction is rolled back",
                         failure.peer());
    }
    const auto& peer = current->record_.primary;
    if (reply.status != database_status::ok && reply.status != database_status::error) {
        end(id, *current, [&](transaction_state& state) { state.refused(state.connection()); });
        co_return refuse(refusal::unavailable, "execute",
                         "the primary was replaced and the transaction is rolled back", peer.str());
    }
    mark_answered(*current);
    if (reply.status == database_status::error) {
        co_return refuse(refusal::statement_failed, "execute", reply.reason, peer.str());
    }
    outcome answer;
    answer.kind = outcome_kind::done;
    answer.result = std::move(reply.result);
    answer.served_by = peer;
    co_return answer;
}

asio::awaitable<statement_result> transaction_service::commit(customer_id customer,
                                                              transaction_id id,
                                                              idempotency_key idempotency,
                                                              session caller_session,
                                                              time_point deadline) {
    statement_result result;
    result.caller_session = std::move(caller_session);
    if (const auto reason = new_work_refusal_()) {
        result.answer = refuse(refusal::unavailable, "freshness", *reason);
        co_return result;
    }
    const auto key = idempotency.empty() ? std::nullopt : std::optional{idempotency};
    const auto claimed = claim(customer, id, transaction_statement::commit, key);
    if (const auto* refusal = std::get_if<outcome>(&claimed)) {
        result.answer = *refusal;
        co_return result;
    }
    const auto& current = std::get<std::shared_ptr<entry>>(claimed);
    commit_request commit;
    commit.customer = customer;
    commit.idempotency = std::move(idempotency);
    commit.record = current->record_;
    commit.deadline = deadline;
    auto written = co_await run_commit(*current->group_, current->lease_, std::move(commit));
    result.answer = std::move(written.answer);
    end(id, *current,
        [&](transaction_state& state) { apply_commit_outcome(state, result.answer.kind); });
    if (result.answer.kind == outcome_kind::done) {
        result.caller_session.advance(current->group_->config().name, written.position);
    }
    co_return result;
}

asio::awaitable<outcome> transaction_service::rollback(customer_id customer, transaction_id id,
                                                       time_point deadline) {
    const auto claimed = claim(customer, id, transaction_statement::rollback, {});
    if (const auto* refusal = std::get_if<outcome>(&claimed)) {
        co_return *refusal;
    }
    const auto& current = std::get<std::shared_ptr<entry>>(claimed);
    auto request = current->make_request(database_call::rollback);
    try {
        const auto reply = co_await current->lease_.call(std::move(request), deadline);
        if (reply.status == database_status::ok) {
            current->lease_.mark_reusable();
        }
        end(id, *current, [](transaction_state& state) { state.answered(state.connection()); });
    } catch (const request_error& failure) {
        end(id, *current, [](transaction_state& state) { state.connection_lost(); });
        log.info("Rollback call failed; closed the connection peer={} reason=\"{}\".",
                 failure.peer(), failure.reason());
    }
    outcome answer;
    answer.kind = outcome_kind::done;
    answer.served_by = current->record_.primary;
    co_return answer;
}

void transaction_service::tick(time_point now) {
    std::vector<std::shared_ptr<entry>> expired;
    const std::scoped_lock lock{mutex_};
    std::erase_if(entries_, [&](auto& item) {
        auto& [id, current] = item;
        if (current->in_use_ || now - current->idle_since_ < idle_limit) {
            return false;
        }
        log.info("Rolled back an idle transaction group={} customer={}.",
                 current->group_->config().name, current->customer_);
        expired.push_back(std::move(current));
        return true;
    });
}

std::size_t transaction_service::open() const {
    const std::scoped_lock lock{mutex_};
    return entries_.size();
}

/// Reserves the transaction for a statement. Returns the refusal if it may not be sent now.
std::variant<std::shared_ptr<transaction_service::entry>, outcome> transaction_service::claim(
    const customer_id& customer, const transaction_id& id, transaction_statement statement,
    const std::optional<idempotency_key>& key) {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return not_found();
    }
    auto& current = *found->second;
    const auto permission =
        current.state_.send(statement, customer, current.lease_.number(), key, steady_clock::now());
    if (permission == statement_permission::wrong_customer) {
        // Another customer must not learn that the transaction exists.
        return not_found();
    }
    if (permission != statement_permission::allowed) {
        return refuse(refusal::unavailable, "transaction", std::string{describe(permission)});
    }
    current.in_use_ = true;
    return found->second;
}

void transaction_service::mark_answered(entry& current) {
    const std::scoped_lock lock{mutex_};
    current.state_.answered(current.lease_.number());
    current.in_use_ = false;
    current.idle_since_ = steady_clock::now();
}

template <class Event>
void transaction_service::end(const transaction_id& id, entry& current, Event event) {
    const std::scoped_lock lock{mutex_};
    event(current.state_);
    entries_.erase(id);
}

}  // namespace masticgrade
