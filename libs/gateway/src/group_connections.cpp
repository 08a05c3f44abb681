#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "backend_group.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Callers wait up to 2 s for a new session; this allows two attempts.
constexpr milliseconds connect_timeout{600};
constexpr milliseconds initial_connect_backoff{100};
constexpr milliseconds max_connect_backoff{800};
/// How long a pool doesn't grow beyond its core size after the instance has reached its connection
/// limit.
constexpr milliseconds connection_limit_backoff{500};
/// Connections beyond the core size of the pool are closed when idle for this long.
constexpr milliseconds surplus_idle_lifetime{400};
constexpr seconds rollback_timeout{2};
/// Lower bound for the estimated time of a statement, also used until one has been answered.
constexpr milliseconds min_service_time{10};
/// Interval over which the release rate is measured.
constexpr milliseconds release_period{250};
/// How long operations that need no new connection may overtake others; the time of a few
/// statements.
constexpr milliseconds max_overtaking_time{80};

}  // namespace

struct backend_group::pending_acquire {
    const acquire_request& request;
    asio::steady_timer timer;
    std::optional<assignment> result;
};

asio::awaitable<acquire_result> backend_group::acquire(acquire_request request) {
    const auto self = shared_from_this();
    const auto started = steady_clock::now();
    request.queue_entry.enqueued_at = started;
    for (;;) {
        const auto now = steady_clock::now();
        if (now >= request.queue_entry.deadline) {
            co_return acquire_failure::timed_out;
        }
        if (primary_ && !queue_.can_be_served_in_time(request.queue_entry, now,
                                                      expected_release_rate(request.queue_entry))) {
            co_return acquire_failure::overloaded;
        }
        std::optional<assignment> assigned;
        {
            pending_acquire entry{
                request, asio::steady_timer{environment_.executor, request.queue_entry.deadline},
                std::nullopt};
            const auto number = queue_.add(request.queue_entry);
            waiting_.emplace(number, &entry);
            const scope_guard leave_queue{[&] {
                queue_.remove(number);
                waiting_.erase(number);
            }};
            dispatch_waiting();
            if (!entry.result) {
                boost::system::error_code ignored;
                co_await entry.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
            assigned = std::move(entry.result);
        }
        if (!assigned) {
            co_return acquire_failure::timed_out;
        }
        auto connection = std::move(assigned->connection);
        if (!assigned->pool_owner.empty()) {
            auto failure = acquire_failure::lease_unavailable;
            connection = co_await acquire_remote(*assigned, request, failure);
            if (!connection && failure != acquire_failure::lease_unavailable) {
                co_return failure;
            }
        } else if (!connection) {
            connection = co_await open(assigned->instance, assigned->generation,
                                       request.queue_entry.customer, request.queue_entry.deadline);
        }
        if (connection) {
            connection->needs_primary = request.queue_entry.needs_primary;
            environment_.metrics.observe_wait(name_, steady_clock::now() - started);
            co_return connection_lease{self, std::move(connection)};
        }
    }
}

double backend_group::expected_release_rate(const waiter& queue_entry) const {
    // The measured rate reflects the capacity only if operations were waiting all the time. Without
    // a measurement, it is estimated from the number of slots and the time of a statement.
    constexpr double assumed_utilization = 0.7;
    double result = 0;
    for (const auto& [id, instance] : instances_) {
        const bool fits = queue_entry.instance.empty()
                              ? !queue_entry.needs_primary || primary_ == id
                              : queue_entry.instance == id;
        if (!fits) {
            continue;
        }
        const auto service = std::max<microseconds>(instance.service_time, min_service_time);
        const double possible = assumed_utilization * instance.entry.slots /
                                std::chrono::duration<double>(service).count();
        result += instance.releases_per_second > 0 ? instance.releases_per_second : possible;
    }
    return result;
}

void backend_group::measure_release_rate(instance_state& instance, time_point now) {
    const bool has_waiter = queue_.has_waiter_for(instance.entry.id, primary_ == instance.entry.id);
    instance.had_waiters_throughout = instance.had_waiters_throughout && has_waiter;
    const auto elapsed = now - instance.release_count_start;
    if (elapsed < release_period) {
        return;
    }
    if (instance.had_waiters_throughout) {
        constexpr double weight = 0.5;
        const double rate = instance.releases / std::chrono::duration<double>(elapsed).count();
        instance.releases_per_second =
            instance.releases_per_second > 0
                ? instance.releases_per_second + weight * (rate - instance.releases_per_second)
                : rate;
    } else if (!has_waiter) {
        instance.releases_per_second = 0;
    }
    instance.releases = 0;
    instance.release_count_start = now;
    instance.had_waiters_throughout = has_waiter;
}

void backend_group::dispatch_waiting() {
    if (waiting_.empty()) {
        return;
    }
    const auto now = steady_clock::now();
    // Opening a connection occupies a slot for as long as a statement does. Operations whose
    // customer has an idle connection are therefore assigned first, unless another operation has
    // already waited too long.
    if (!queue_.has_waited_since(now - max_overtaking_time)) {
        assign_waiting(true, now);
    }
    assign_waiting(false, now);
}

void backend_group::assign_waiting(bool only_free_connections, time_point now) {
    for (const auto number : queue_.order(now, in_flight_)) {
        const auto found = waiting_.find(number);
        if (found == waiting_.end() || found->second->result) {
            continue;
        }
        auto& entry = *found->second;
        entry.result = assign(entry.request, only_free_connections, now);
        if (entry.result) {
            queue_.remove(number);
            entry.timer.cancel();
        }
    }
}

asio::awaitable<std::unique_ptr<pooled_connection>> backend_group::open(instance_id instance,
                                                                        std::uint64_t generation,
                                                                        customer_id customer,
                                                                        time_point deadline) {
    std::optional<answer_code> refused;
    const auto started = steady_clock::now();
    if (const auto* state = find_state(instance, generation)) {
        const auto entry = state->entry;
        const auto known = state->highest_number;
        try {
            on_request_sent(instance, false);
            auto link = co_await environment_.connector.connect(
                entry, customer, std::min(deadline, started + connect_timeout));
            const auto elapsed = steady_clock::now() - started;
            constexpr int weight = 8;
            connection_setup_time_ +=
                (std::chrono::duration_cast<microseconds>(elapsed) - connection_setup_time_) /
                weight;
            statement_answer opened;
            opened.position = link->initial_position();
            check_restart(instance, opened.position, known);
            on_answer(instance, false, elapsed, opened);
            auto connection = std::make_unique<pooled_connection>();
            connection->link = std::move(link);
            connection->instance = instance;
            connection->customer = customer;
            connection->generation = generation;
            connection->opened_at = started;
            connection->last_used = steady_clock::now();
            environment_.metrics.count("masticgrade_backend_connections_opened_total",
                                       "Connections opened to instances.");
            co_return connection;
        } catch (const connection_refused_error& failure) {
            refused = failure.code();
        } catch (const connection_error& failure) {
            event_line{"connect_failed"}
                .field("group", name_)
                .field("instance", instance)
                .field("reason", failure.what())
                .write();
        }
    }
    on_connect_failed(instance, generation, started, refused);
    end_operation(customer);
    dispatch_waiting();
    co_return nullptr;
}

asio::awaitable<std::unique_ptr<pooled_connection>> backend_group::acquire_remote(
    const assignment& assigned, const acquire_request& request, acquire_failure& failure) {
    const auto started = steady_clock::now();
    auto result =
        co_await environment_.acquire_remote(assigned.pool_owner, assigned.instance, request);
    const auto waited = std::chrono::duration_cast<microseconds>(steady_clock::now() - started);
    auto* state = find_state(assigned.instance, assigned.generation);
    if (state != nullptr) {
        constexpr int weight = 6;
        state->queue_time += (waited - state->queue_time) / weight;
    }
    if (result.connection) {
        auto connection = std::make_unique<pooled_connection>();
        connection->remote = std::move(result.connection);
        connection->instance = assigned.instance;
        connection->generation = assigned.generation;
        connection->customer = request.queue_entry.customer;
        co_return connection;
    }
    if (state != nullptr) {
        --state->outstanding;
    }
    end_operation(request.queue_entry.customer);
    failure = result.failure;
    co_return nullptr;
}

backend_group::instance_state* backend_group::find_state(const instance_id& instance,
                                                         std::uint64_t generation) {
    const auto found = instances_.find(instance);
    return found == instances_.end() || found->second.generation != generation ? nullptr
                                                                               : &found->second;
}

void backend_group::end_operation(const customer_id& customer) {
    const auto found = in_flight_.find(customer);
    if (found != in_flight_.end() && --found->second == 0) {
        in_flight_.erase(found);
    }
}

void backend_group::on_connect_failed(const instance_id& instance, std::uint64_t generation,
                                      time_point started, std::optional<answer_code> code) {
    environment_.metrics.count("masticgrade_backend_connections_failed_total",
                               "Connections that an instance refused or that failed.",
                               code ? std::string{to_string(*code)} : "silent");
    auto* state = find_state(instance, generation);
    if (state == nullptr) {
        return;
    }
    const auto now = steady_clock::now();
    --state->open;
    --state->outstanding;
    if (code && primary_ == instance) {
        failure_detector_.on_answer(now);
    }
    if (code == answer_code::connection_limit || code == answer_code::busy) {
        state->connection_limit_until = now + connection_limit_backoff;
        state->connect_after = now + initial_connect_backoff / 4;
        if (code == answer_code::busy) {
            state->pace.on_refusal(started, now);
        }
        return;
    }
    ++state->failures;
    pace_failure(*state, instance_pace::failure::no_connection, started, now);
    state->connect_after =
        now + std::min(max_connect_backoff,
                       initial_connect_backoff * (1U << std::min(state->failures, 4U)));
    if (primary_ == instance && !code) {
        failure_detector_.on_connection_refused(now);
    }
    if (code == answer_code::wrong_instance) {
        environment_.refresh_directory();
    }
}

void backend_group::release_connection(std::unique_ptr<pooled_connection> connection) {
    on_run_started(*connection);
    if (connection->remote) {
        connection->remote->close();
        if (auto* state = find_state(connection->instance, connection->generation)) {
            --state->outstanding;
        }
        end_operation(connection->customer);
        dispatch_waiting();
        return;
    }
    if (!connection->link->is_reusable()) {
        // The instance rolls back what is open.
        connection->link->close();
    }
    if (connection->in_transaction && connection->link->is_open()) {
        asio::co_spawn(environment_.executor, roll_back(std::move(connection)), asio::detached);
        return;
    }
    end_operation(connection->customer);
    auto* state = find_state(connection->instance, connection->generation);
    if (state == nullptr) {
        connection->link->close();
        return;
    }
    --state->outstanding;
    ++state->releases;
    if (connection->link->is_open() && !state->draining_since) {
        connection->last_used = steady_clock::now();
        state->idle.push_back(std::move(connection));
    } else {
        close(std::move(connection));
    }
    dispatch_waiting();
}

void backend_group::close(std::unique_ptr<pooled_connection> connection) {
    connection->link->close();
    if (auto* state = find_state(connection->instance, connection->generation)) {
        --state->open;
    }
}

asio::awaitable<void> backend_group::roll_back(std::unique_ptr<pooled_connection> connection) {
    const auto self = shared_from_this();
    try {
        std::vector<backend_request> requests;
        requests.emplace_back(backend_rollback{});
        const auto answers = co_await connection->link->run(std::move(requests),
                                                            steady_clock::now() + rollback_timeout);
        if (answers.front().phase != transaction_phase::none) {
            connection->link->close();
        }
    } catch (const connection_error& failure) {
        event_line{"rollback_failed"}
            .field("group", name_)
            .field("instance", connection->instance)
            .field("reason", failure.what())
            .write();
    }
    connection->in_transaction = false;
    release_connection(std::move(connection));
}

void backend_group::trim_idle(instance_state& instance, time_point now) {
    const auto core_size = limits_for(environment_.pool_owner_of(instance.entry)).core_size;
    while (!instance.idle.empty() &&
           (!instance.idle.front()->link->is_open() || instance.draining_since ||
            (instance.open > core_size &&
             now - instance.idle.front()->last_used > surplus_idle_lifetime))) {
        auto connection = std::move(instance.idle.front());
        instance.idle.pop_front();
        close(std::move(connection));
    }
}

asio::awaitable<statement_answer> backend_group::run_control_request(instance_id instance,
                                                                     backend_request request,
                                                                     time_point deadline) {
    const auto self = shared_from_this();
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
        throw connection_error("order", instance.str(),
                               "the instance is no longer in the directory", false);
    }
    auto& state = found->second;
    std::vector<backend_request> requests;
    requests.push_back(std::move(request));
    if (!state.idle.empty()) {
        // An instance at its connection limit refuses new connections, also for control requests.
        auto connection = std::move(state.idle.back());
        state.idle.pop_back();
        ++state.outstanding;
        ++in_flight_[connection->customer];
        connection->needs_primary = false;
        connection_lease lease{self, std::move(connection)};
        const auto answers = co_await lease.execute_all(std::move(requests), deadline);
        co_return answers.front();
    }
    const auto entry = state.entry;
    const auto customer = last_customer_.empty() ? customer_id{"-"} : last_customer_;
    auto link = co_await environment_.connector.connect(entry, customer, deadline);
    if (primary_ == instance) {
        // Over a slow link, the answer to the request may come after the deadline.
        failure_detector_.on_answer(steady_clock::now());
    }
    auto answers = co_await link->run(std::move(requests), deadline);
    link->close();
    co_return answers.front();
}

}  // namespace masticgrade
