#include "group_runtime.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

#include "masticgrade/base/log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"group"};

/// Maximum age of an instance's reported staleness before it is requested again.
constexpr milliseconds state_refresh_age{100};
constexpr milliseconds state_timeout{500};
/// The state of a group that had no statement for this long is not polled.
constexpr seconds activity_timeout{5};
/// How long an instance may delay the answer to a confirm call until it has received the entry.
constexpr milliseconds confirm_wait{200};

/// Each host has one control connection to the instance. Of the remaining connections, each host
/// keeps half of an equal share open. Under load it may open more, up to what is left when every
/// other host keeps its part open. More than a few connections per slot would only queue at the
/// instance.
connection_limits limits_for(const group_config& config, std::size_t member_count) {
    constexpr std::size_t connections_per_slot = 2;
    const auto hosts = std::max<std::size_t>(member_count, 1);
    const auto limit = std::max<std::size_t>(config.max_connections, hosts) - hosts;
    connection_limits limits;
    limits.min_connections = std::max<std::size_t>(1, limit / hosts / 2);
    const auto others = (hosts - 1) * limits.min_connections;
    limits.max_connections = std::max(limits.min_connections, limit - std::min(limit, others));
    limits.max_connections =
        std::min(limits.max_connections,
                 std::max(limits.min_connections, connections_per_slot * config.slots + 2));
    return limits;
}

}  // namespace

group_runtime::group_runtime(asio::any_io_executor executor, group_config config,
                             std::size_t member_count)
    : executor_(std::move(executor)),
      config_(std::move(config)),
      health_(instance_ids(config_)),
      acknowledgement_(instance_ids(config_)),
      member_count_(member_count) {
    for (const auto& instance : config_.instances) {
        auto link = std::make_shared<instance_link>(executor_, instance, pool_settings{});
        link->set_limits(limits_for(config_, member_count));
        links_.emplace(instance.id, std::move(link));
    }
}

group_record group_runtime::record() const {
    const std::scoped_lock lock{mutex_};
    return record_;
}

instance_link& group_runtime::link(const instance_id& instance) const {
    return *links_.at(instance);
}

std::vector<instance_view> group_runtime::views(time_point now) const {
    std::vector<instance_view> views;
    {
        const std::scoped_lock lock{mutex_};
        for (const auto& instance : config_.instances) {
            instance_view view;
            view.id = instance.id;
            view.failure_domain = instance.failure_domain;
            view.draining = draining_.contains(instance.id);
            const auto share = new_work_shares_.find(instance.id);
            view.admitted_share = share == new_work_shares_.end() ? 1.0 : share->second;
            if (const auto* known = health_.find(instance.id)) {
                view.reachable = known->reachable;
                view.term = known->term;
                view.applied = health_.expected_applied(instance.id, now);
                view.staleness = health_.staleness_bound(instance.id, now);
            }
            views.push_back(std::move(view));
        }
    }
    for (auto& view : views) {
        view.outstanding = links_.at(view.id)->outstanding();
    }
    return views;
}

std::vector<instance_health> group_runtime::health() const {
    const std::scoped_lock lock{mutex_};
    return health_.instances();
}

void group_runtime::on_record(const group_record& record) {
    std::vector<record_waiter> waiters;
    {
        const std::scoped_lock lock{mutex_};
        if (record.version <= record_.version) {
            return;
        }
        record_ = record;
        waiters.swap(record_waiters_);
    }
    log.info("Applied a group record group={} term={} primary={} phase={} version={}.",
             config_.name, record.term, record.primary,
             record.phase == group_phase::active ? "active" : "sealing", record.version);
    with_acknowledgement([&](time_point now) {
        return record.phase == group_phase::active
                   ? acknowledgement_.on_term(record.term, record.primary, record.start_position,
                                              now)
                   : acknowledgement_.on_newer_term(record.term, now);
    });
    apply_limits();
    for (const auto& waiter : waiters) {
        waiter->set(true);
    }
}

void group_runtime::on_members(std::size_t member_count) {
    {
        const std::scoped_lock lock{mutex_};
        member_count_ = member_count;
    }
    apply_limits();
}

void group_runtime::set_draining(std::set<instance_id> draining) {
    {
        const std::scoped_lock lock{mutex_};
        draining_ = std::move(draining);
    }
    apply_limits();
}

/// Connections to draining instances close when they become idle. A draining primary keeps its
/// connections until the primary has moved.
void group_runtime::apply_limits() {
    std::set<instance_id> closing;
    connection_limits limits;
    {
        const std::scoped_lock lock{mutex_};
        limits = limits_for(config_, member_count_);
        closing = draining_;
        closing.erase(record_.primary);
    }
    for (const auto& [id, link] : links_) {
        link->set_limits(closing.contains(id) ? connection_limits{0, 0} : limits);
    }
}

void group_runtime::set_new_work_shares(const std::map<instance_id, double>& shares) {
    const std::scoped_lock lock{mutex_};
    for (const auto& instance : config_.instances) {
        const auto share = shares.find(instance.id);
        new_work_shares_[instance.id] = share == shares.end() ? 1.0 : share->second;
    }
}

void group_runtime::on_reply(const instance_id& instance, const database_reply& reply,
                             time_point sent_at) {
    const instance_progress progress{instance, reply.term, reply.received_position,
                                     reply.applied_position, sent_at};
    {
        const std::scoped_lock lock{mutex_};
        if (reply.role && reply.staleness) {
            health_.on_state({progress, *reply.role, reply.last_term, *reply.staleness});
        } else {
            health_.on_progress(progress);
        }
    }
    if (reply_observer_) {
        reply_observer_(instance, reply, sent_at);
    }
}

void group_runtime::mark_active(time_point now) {
    const std::scoped_lock lock{mutex_};
    active_until_ = now + activity_timeout;
}

void group_runtime::on_unreachable(const instance_id& instance, time_point sent_at) {
    const std::scoped_lock lock{mutex_};
    health_.on_unreachable(instance, sent_at);
}

asio::awaitable<database_reply> group_runtime::control(instance_id instance,
                                                       database_request request,
                                                       time_point deadline) {
    auto self = shared_from_this();
    const auto sent_at = steady_clock::now();
    try {
        auto reply = co_await links_.at(instance)->control(std::move(request), deadline);
        on_reply(instance, reply, sent_at);
        co_return reply;
    } catch (const request_error& failure) {
        if (!failure.may_have_run()) {
            on_unreachable(instance, sent_at);
        }
        throw;
    }
}

asio::awaitable<bool> group_runtime::wait_for_newer_record(fleet_version known,
                                                           time_point deadline) {
    const auto executor = co_await asio::this_coro::executor;
    record_waiter waiter;
    {
        const std::scoped_lock lock{mutex_};
        if (record_.version > known) {
            co_return true;
        }
        waiter = std::make_shared<async_result<bool>>(executor);
        record_waiters_.push_back(waiter);
    }
    co_return (co_await waiter->wait(deadline)).has_value();
}

asio::awaitable<write_outcome> group_runtime::confirm(term_number term, log_position position,
                                                      log_position primary_received,
                                                      time_point deadline) {
    const auto result =
        std::make_shared<async_result<write_outcome>>(co_await asio::this_coro::executor);
    with_acknowledgement([&](time_point now) {
        last_write_ = last_write_.next();
        pending_writes_.emplace(last_write_, result);
        return acknowledgement_.on_write({last_write_, term, position, primary_received, deadline},
                                         now);
    });
    // The acknowledgement tracker resolves every write by its deadline; the margin covers the tick
    // interval.
    const auto write_status = co_await result->wait(deadline + milliseconds{100});
    co_return write_status.value_or(write_outcome::timed_out);
}

void group_runtime::tick(time_point now) {
    with_acknowledgement([&](time_point) { return acknowledgement_.on_time(now); });
    std::vector<instance_id> due;
    {
        const std::scoped_lock lock{mutex_};
        if (now < active_until_ || record_.version == fleet_version{}) {
            for (const auto& instance : health_.due_for_state(state_refresh_age, now)) {
                if (refreshing_.insert(instance).second) {
                    due.push_back(instance);
                }
            }
        }
    }
    for (const auto& instance : due) {
        asio::co_spawn(asio::make_strand(executor_), refresh_state(instance), asio::detached);
    }
    for (const auto& [id, link] : links_) {
        link->tick(now);
    }
}

template <class Event>
void group_runtime::with_acknowledgement(Event event) {
    acknowledgement_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        actions = event(steady_clock::now());
    }
    perform(actions);
}

void group_runtime::perform(const acknowledgement_actions& actions) {
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { execute(value); }, action);
    }
}

void group_runtime::execute(const send_confirm& action) {
    asio::co_spawn(asio::make_strand(executor_), run_confirm(action), asio::detached);
}

void group_runtime::execute(const write_resolved& action) {
    pending_write result;
    {
        const std::scoped_lock lock{mutex_};
        auto node = pending_writes_.extract(action.number);
        if (!node.empty()) {
            result = std::move(node.mapped());
        }
    }
    if (result) {
        result->set(action.outcome);
    }
}

asio::awaitable<void> group_runtime::run_confirm(send_confirm action) {
    auto self = shared_from_this();
    database_request request;
    request.call = database_call::confirm;
    request.term = action.term;
    request.position = action.position;
    request.wait = confirm_wait;
    bool answered = false;
    database_reply reply;
    try {
        reply = co_await control(action.instance, std::move(request), action.deadline);
        answered = true;
    } catch (const error& failure) {
        log.debug("Confirm failed group={} instance={} reason=\"{}\".", config_.name,
                  action.instance, failure.what());
    }
    with_acknowledgement([&](time_point now) {
        if (!answered) {
            return acknowledgement_.on_confirm_failed(action.instance, now);
        }
        // Status "ok" means that the log matches the log of the term's primary up to the position.
        const auto log_term = reply.status == database_status::ok ? reply.term : reply.last_term;
        return acknowledgement_.on_confirm(
            {action.instance, reply.term, log_term, reply.received_position}, now);
    });
}

asio::awaitable<void> group_runtime::refresh_state(instance_id instance) {
    auto self = shared_from_this();
    const scope_guard guard{[self, instance] {
        const std::scoped_lock lock{self->mutex_};
        self->refreshing_.erase(instance);
    }};
    database_request request;
    request.call = database_call::state;
    request.term = record().term;
    try {
        co_await control(instance, std::move(request), steady_clock::now() + state_timeout);
    } catch (const error& failure) {
        log.debug("State query failed group={} instance={} reason=\"{}\".", config_.name, instance,
                  failure.what());
    }
}

}  // namespace masticgrade
