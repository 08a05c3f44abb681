#include "failover_runtime.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "masticgrade/base/base64url.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/version/rendezvous.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "random_id.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"failover"};

constexpr std::size_t monitors_per_group = 3;
constexpr milliseconds call_timeout{400};
constexpr milliseconds store_timeout{1000};

std::string_view describe(promotion_failure reason) {
    switch (reason) {
        case promotion_failure::superseded:
            return "the record was changed concurrently";
        case promotion_failure::store_unavailable:
            return "the store is not reachable";
        case promotion_failure::no_majority:
            return "no majority of the instances is reachable";
        case promotion_failure::promote_unanswered:
            return "the promoted instance did not answer";
        case promotion_failure::no_candidate:
            return "no replica caught up in time";
    }
    return "unknown";
}

database_request make_request(database_call call, term_number term) {
    database_request request;
    request.call = call;
    request.term = term;
    return request;
}

instance_state to_state(const instance_id& instance, const database_reply& reply,
                        time_point sent_at) {
    instance_state state;
    state.progress = {instance, reply.term, reply.received_position, reply.applied_position,
                      sent_at};
    state.role = reply.role.value_or(instance_role::replica);
    state.last_term = reply.last_term;
    state.staleness = reply.staleness.value_or(milliseconds{0});
    return state;
}

}  // namespace

failover_runtime::failover_runtime(asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)), dependencies_(std::move(deps)) {}

std::vector<host_id> failover_runtime::monitors_of(const members& hosts,
                                                   const group_id& group) const {
    return rank_hosts_across_domains(hosts, "monitor/" + group.str(), monitors_per_group);
}

void failover_runtime::on_snapshot(const fleet_snapshot_ptr& snapshot) {
    const auto now = steady_clock::now();
    std::map<group_id, detector_actions> due;
    {
        const std::scoped_lock lock{mutex_};
        std::erase_if(groups_, [&](const auto& item) {
            return !snapshot->config.groups.contains(item.first);
        });
        for (const auto& [id, config] : snapshot->config.groups) {
            auto monitors = monitors_of(snapshot->hosts, id);
            if (std::find(monitors.begin(), monitors.end(), dependencies_.self) == monitors.end()) {
                groups_.erase(id);
                continue;
            }
            monitored_group created{failure_detector{dependencies_.self, {}}};
            auto& entry = groups_.try_emplace(id, std::move(created)).first->second;
            const auto found = snapshot->groups.find(id);
            const auto record = found == snapshot->groups.end() ? group_record{} : found->second;
            entry.primary = record.primary;
            entry.instances = instance_ids(config);
            entry.stall_logged = false;
            entry.replication.on_group(entry.instances, record.primary, record.term);
            auto& actions = due[id];
            for (auto&& batch : {entry.detector.on_monitors(std::move(monitors), now),
                                 entry.detector.on_group(entry.instances, record, now)}) {
                actions.insert(actions.end(), batch.begin(), batch.end());
            }
        }
    }
    for (const auto& [id, actions] : due) {
        perform(id, actions);
        std::shared_ptr<promotion> attempt;
        {
            const std::scoped_lock lock{mutex_};
            const auto found = groups_.find(id);
            attempt = found == groups_.end() ? nullptr : found->second.attempt;
        }
        const auto record = snapshot->groups.find(id);
        if (attempt && record != snapshot->groups.end()) {
            with_attempt(id, attempt, record_observed{record->second});
        }
    }
}

void failover_runtime::on_answer(const group_id& group, const instance_progress& progress) {
    with_detector(group, [&](monitored_group& entry, time_point now) {
        entry.replication.on_progress(progress, now);
        if (!proves_liveness(entry, progress.instance, now)) {
            return detector_actions{};
        }
        return entry.detector.on_response(progress.instance, progress.term, now);
    });
}

bool failover_runtime::proves_liveness(const monitored_group& entry, const instance_id& instance,
                                       time_point now) {
    return instance != entry.primary || !entry.replication.stalled(now);
}

/// Requests the state of the replicas while they lag behind the primary, and logs a replication
/// stall.
void failover_runtime::check_replication(const group_id& group) {
    bool behind = false;
    {
        const std::scoped_lock lock{mutex_};
        const auto found = groups_.find(group);
        if (found == groups_.end()) {
            return;
        }
        auto& entry = found->second;
        const auto now = steady_clock::now();
        behind = entry.replication.replicas_lagging();
        const bool stalled = entry.replication.stalled(now);
        if (stalled && !entry.stall_logged) {
            log.warning(
                "The primary answers but cannot replicate to a majority group={} primary={}.",
                group, entry.primary);
        }
        entry.stall_logged = stalled;
    }
    const auto runtime = dependencies_.fleet->group(group);
    if (behind && runtime) {
        runtime->mark_active(steady_clock::now());
    }
}

void failover_runtime::on_suspicion(const host_id& sender, const group_id& group, term_number term,
                                    bool suspected) {
    with_detector(group, [&](monitored_group& entry, time_point now) {
        return entry.detector.on_suspicion(sender, term, suspected, now);
    });
}

bool failover_runtime::start_planned_switchover(const start_switchover& action) {
    std::shared_ptr<promotion> attempt;
    {
        const std::scoped_lock lock{mutex_};
        const auto found = groups_.find(action.group);
        if (found == groups_.end() || found->second.attempt ||
            action.observed.phase != group_phase::active) {
            return false;
        }
        attempt = begin_attempt(found->second, action.group, action.observed, true);
    }
    perform(action.group, attempt, attempt->start(steady_clock::now()));
    return true;
}

std::set<group_id> failover_runtime::coordinated_groups() {
    const auto snapshot = dependencies_.fleet->snapshot();
    std::set<group_id> coordinated;
    const std::scoped_lock lock{mutex_};
    for (const auto& [id, entry] : groups_) {
        for (const auto& monitor : monitors_of(snapshot->hosts, id)) {
            if (monitor == dependencies_.self) {
                coordinated.insert(id);
                break;
            }
            if (dependencies_.is_reachable(monitor)) {
                break;
            }
        }
    }
    return coordinated;
}

void failover_runtime::tick(time_point now) {
    std::vector<group_id> due_detectors;
    std::vector<std::pair<group_id, std::shared_ptr<promotion>>> due_attempts;
    {
        const std::scoped_lock lock{mutex_};
        for (auto& [id, entry] : groups_) {
            if (entry.detector.next_wakeup() <= now) {
                due_detectors.push_back(id);
            }
            if (entry.attempt && entry.attempt->next_wakeup() <= now) {
                due_attempts.emplace_back(id, entry.attempt);
            }
        }
    }
    const auto snapshot = dependencies_.fleet->snapshot();
    for (const auto& id : due_detectors) {
        check_replication(id);
        with_detector(id, [&](monitored_group& entry, time_point) {
            detector_actions actions;
            for (const auto& monitor : monitors_of(snapshot->hosts, id)) {
                if (monitor != dependencies_.self) {
                    const bool reachable = dependencies_.is_reachable(monitor);
                    auto more = entry.detector.on_monitor_reachable(monitor, reachable, now);
                    actions.insert(actions.end(), more.begin(), more.end());
                }
            }
            auto more = entry.detector.on_time(now);
            actions.insert(actions.end(), more.begin(), more.end());
            return actions;
        });
    }
    for (const auto& [id, attempt] : due_attempts) {
        with_attempt(id, attempt, time_passed{});
    }
}

template <class Event>
void failover_runtime::with_detector(const group_id& group, Event event) {
    detector_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        const auto found = groups_.find(group);
        if (found == groups_.end()) {
            return;
        }
        actions = event(found->second, steady_clock::now());
    }
    perform(group, actions);
}

void failover_runtime::with_attempt(const group_id& group,
                                    const std::shared_ptr<promotion>& attempt,
                                    const promotion_event& event) {
    promotion_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        actions = attempt->handle(event, steady_clock::now());
    }
    perform(group, attempt, actions);
    finish_completed_attempt(group, attempt);
}

void failover_runtime::finish_completed_attempt(const group_id& group,
                                                const std::shared_ptr<promotion>& attempt) {
    bool ended = false;
    with_detector(group, [&](monitored_group& entry, time_point now) {
        if (entry.attempt != attempt || !attempt->finished()) {
            return detector_actions{};
        }
        ended = true;
        entry.attempt.reset();
        return entry.detector.on_attempt_ended(now);
    });
    if (ended) {
        dependencies_.on_attempt_ended(group);
    }
}

/// Precondition: the caller holds the lock and no attempt is running.
std::shared_ptr<promotion> failover_runtime::begin_attempt(monitored_group& entry,
                                                           const group_id& group,
                                                           const group_record& observed,
                                                           bool planned) {
    promotion_request request;
    request.group = group;
    request.coordinator = dependencies_.self;
    request.observed = observed;
    request.instances = entry.instances;
    exclude_stalled_primary(entry, planned, request);
    request.avoided = dependencies_.fleet->draining();
    request.planned = planned;
    request.mark = make_random_id();
    const auto now = steady_clock::now();
    entry.attempt = std::make_shared<promotion>(std::move(request), promotion_settings{}, now);
    log.info("Starting a promotion group={} term={} planned={} previous_primary={}.", group,
             entry.attempt->term(), planned, observed.primary);
    return entry.attempt;
}

/// A primary that answers but cannot replicate has the longest log and would be promoted again.
/// Every acknowledged write is held by a majority, so sealing a majority that excludes the primary
/// is sufficient. A majority of the other instances is a majority of the whole group only if the
/// group has an odd size.
void failover_runtime::exclude_stalled_primary(const monitored_group& entry, bool planned,
                                               promotion_request& request) {
    const bool odd = request.instances.size() % 2 == 1;
    if (!planned && odd && entry.replication.stalled(steady_clock::now())) {
        std::erase(request.instances, entry.primary);
    }
}

void failover_runtime::perform(const group_id& group, const detector_actions& actions) {
    for (const auto& action : actions) {
        std::visit([&](const auto& value) { execute(group, value); }, action);
    }
}

void failover_runtime::execute(const group_id& group, const probe_instance& action) {
    asio::co_spawn(asio::make_strand(executor_), probe(group, action), asio::detached);
}

void failover_runtime::execute(const group_id& group, const report_suspicion& action) {
    log_suspicion(group, action);
    for (const auto& recipient : action.recipients) {
        dependencies_.send_suspicion(recipient, group, action.term, action.suspected);
    }
}

/// A suspicion is reported repeatedly while it lasts; only changes are logged.
void failover_runtime::log_suspicion(const group_id& group, const report_suspicion& action) {
    const std::scoped_lock lock{mutex_};
    const auto found = groups_.find(group);
    if (found == groups_.end() || found->second.suspected == action.suspected) {
        return;
    }
    found->second.suspected = action.suspected;
    if (action.suspected) {
        log.warning("Suspecting the primary group={} term={}.", group, action.term);
    } else {
        log.info("The primary is no longer suspected group={} term={}.", group, action.term);
    }
}

void failover_runtime::execute(const group_id& group, const start_promotion& action) {
    std::shared_ptr<promotion> attempt;
    {
        const std::scoped_lock lock{mutex_};
        const auto found = groups_.find(group);
        if (found == groups_.end() || found->second.attempt) {
            return;
        }
        attempt = begin_attempt(found->second, group, action.observed, false);
    }
    perform(group, attempt, attempt->start(steady_clock::now()));
}

void failover_runtime::execute(const group_id& group, const repair_follower& action) {
    asio::co_spawn(asio::make_strand(executor_), repair(group, action), asio::detached);
}

void failover_runtime::perform(const group_id& group, const std::shared_ptr<promotion>& attempt,
                               const promotion_actions& actions) {
    for (const auto& action : actions) {
        std::visit(
            [&](const auto& value) {
                asio::co_spawn(asio::make_strand(executor_), run(group, attempt, value),
                               asio::detached);
            },
            action);
    }
}

asio::awaitable<std::optional<database_reply>> failover_runtime::call(group_id group,
                                                                      instance_id instance,
                                                                      database_request request) {
    const auto runtime = dependencies_.fleet->group(group);
    if (!runtime || !runtime->has_instance(instance)) {
        co_return std::nullopt;
    }
    try {
        const auto deadline = steady_clock::now() + call_timeout;
        co_return co_await runtime->control(instance, std::move(request), deadline);
    } catch (const error& failure) {
        log.debug("Call failed group={} instance={} reason=\"{}\".", group, instance,
                  failure.what());
        co_return std::nullopt;
    }
}

asio::awaitable<void> failover_runtime::probe(group_id group, probe_instance action) {
    auto self = shared_from_this();
    const auto sent_at = steady_clock::now();
    auto request = make_request(database_call::state, action.term);
    const auto reply = co_await call(group, action.instance, std::move(request));
    if (reply && reply->status == database_status::ok) {
        with_detector(group, [&](monitored_group& entry, time_point now) {
            if (!proves_liveness(entry, action.instance, now)) {
                return detector_actions{};
            }
            return entry.detector.on_state(to_state(action.instance, *reply, sent_at), now);
        });
    }
}

asio::awaitable<void> failover_runtime::repair(group_id group, repair_follower action) {
    auto self = shared_from_this();
    const auto runtime = dependencies_.fleet->group(group);
    if (!runtime || !runtime->has_instance(action.primary)) {
        co_return;
    }
    auto request = make_request(database_call::follow, action.term);
    request.primary = runtime->link(action.primary).config().address;
    co_await call(group, action.instance, std::move(request));
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            commit_record action) {
    auto self = shared_from_this();
    const auto key = group_row_key(group);
    table_commit change;
    change.conditions.push_back({key, action.expected});
    change.puts.push_back({key, encode_group_row(action.record, action.record.mark)});
    commit_response answer;
    answer.mark = action.record.mark;
    try {
        const auto deadline = steady_clock::now() + store_timeout;
        const auto result = co_await dependencies_.store->commit(std::move(change), deadline);
        answer.outcome = result.committed ? commit_outcome::committed : commit_outcome::conflict;
        answer.version = result.version;
    } catch (const error& failure) {
        log.warning("Committing a group record failed or is unconfirmed group={} reason=\"{}\".",
                    group, failure.what());
    }
    with_attempt(group, attempt, answer);
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            read_record) {
    auto self = shared_from_this();
    promotion_event event = read_failed{};
    try {
        const auto key = group_row_key(group);
        const auto deadline = steady_clock::now() + store_timeout;
        const auto result = co_await dependencies_.store->scan(key, fleet_version{}, deadline);
        record_read read;
        for (const auto& row : result.rows) {
            if (row.key == key) {
                read.record = decode_group_row(row);
            }
        }
        event = std::move(read);
    } catch (const error& failure) {
        log.warning("Reading a group record failed group={} reason=\"{}\".", group, failure.what());
    }
    with_attempt(group, attempt, event);
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            query_state action) {
    auto self = shared_from_this();
    const auto sent_at = steady_clock::now();
    auto request = make_request(database_call::state, action.term);
    const auto reply = co_await call(group, action.instance, std::move(request));
    if (reply && reply->status == database_status::ok) {
        with_attempt(group, attempt, to_state(action.instance, *reply, sent_at));
    }
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            seal_instance action) {
    auto self = shared_from_this();
    auto request = make_request(database_call::seal, action.term);
    const auto reply = co_await call(group, action.instance, std::move(request));
    if (reply) {
        seal_response answer;
        answer.instance = action.instance;
        answer.term = action.term;
        answer.sealed = reply->status == database_status::ok;
        answer.held_term = reply->term;
        answer.last_term = reply->last_term;
        answer.received = reply->received_position;
        with_attempt(group, attempt, answer);
    }
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            promote_instance action) {
    auto self = shared_from_this();
    auto request = make_request(database_call::promote, action.term);
    const auto reply = co_await call(group, action.instance, std::move(request));
    if (reply) {
        promote_response answer;
        answer.instance = action.instance;
        answer.term = action.term;
        answer.promoted = reply->status == database_status::ok;
        answer.held_term = reply->term;
        answer.start_position = reply->start_position;
        with_attempt(group, attempt, answer);
    }
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion> attempt,
                                            follow_primary action) {
    auto self = shared_from_this();
    const auto runtime = dependencies_.fleet->group(group);
    if (!runtime || !runtime->has_instance(action.primary)) {
        co_return;
    }
    auto request = make_request(database_call::follow, action.term);
    request.primary = runtime->link(action.primary).config().address;
    const auto reply = co_await call(group, action.instance, std::move(request));
    if (reply && reply->status == database_status::ok) {
        with_attempt(group, attempt, follow_response{action.instance, action.term});
    }
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion>,
                                            promotion_succeeded action) {
    auto self = shared_from_this();
    log.info("Promoted a replica group={} term={} primary={} start_position={}.", group,
             action.record.term, action.record.primary, action.record.start_position);
    co_await dependencies_.publish(group);
}

asio::awaitable<void> failover_runtime::run(group_id group, std::shared_ptr<promotion>,
                                            promotion_failed action) {
    log.warning("A promotion failed group={} reason=\"{}\".", group, describe(action.reason));
    co_return;
}

}  // namespace masticgrade
