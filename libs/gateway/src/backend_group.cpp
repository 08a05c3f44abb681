#include "backend_group.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// What an instance said of its position counts for this long; then one read finds it out again.
constexpr milliseconds position_lifetime{150};
/// The primary's position is asked for again when the last proof is this old and reads need it.
constexpr milliseconds proof_refresh_age{350};
constexpr seconds position_use_lifetime{3};
constexpr seconds lost_instance_lifetime{20};
/// A leaving primary gets new work until it is replaced, but not longer than this; the instances'
/// bound is 7 s after the store took their notice.
constexpr milliseconds leaving_primary_limit{4500};
/// The same for an evacuated failure domain, whose bound is 5 s.
constexpr milliseconds evacuated_primary_limit{2800};
constexpr double smoothing = 0.15;
/// Statements at an instance beyond its slots, so that a slot does not wait for the next one's way.
constexpr unsigned statements_in_transit = 2;

microseconds smooth(microseconds old_value, duration sample) {
    const auto value = std::chrono::duration_cast<microseconds>(sample);
    if (old_value.count() == 0) {
        return value;
    }
    return microseconds{static_cast<microseconds::rep>(
        static_cast<double>(old_value.count()) +
        smoothing * static_cast<double>((value - old_value).count()))};
}

}  // namespace

backend_group::backend_group(group_id name, group_environment environment)
    : name_(std::move(name)), environment_(std::move(environment)) {}

backend_group::~backend_group() = default;

void backend_group::update(const group_settings& settings,
                           const std::vector<instance_entry>& entries,
                           const std::set<failure_domain_id>& evacuated) {
    const auto now = steady_clock::now();
    settings_ = settings;
    std::set<instance_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        auto [found, added] = instances_.try_emplace(entry.id);
        auto& instance = found->second;
        if (added) {
            instance.epoch = ++last_epoch_;
        }
        const bool restarted = !added && (instance.entry.start_time != entry.start_time ||
                                          instance.entry.address != entry.address);
        if (added || restarted || instance.entry.leaving != entry.leaving ||
            instance.entry.claims_primary != entry.claims_primary) {
            event_line{"instance_changed"}
                .field("group", name_)
                .field("instance", entry.id)
                .field("address", entry.address)
                .field("primary", entry.claims_primary)
                .field("leaving", entry.leaving)
                .field("born", entry.start_time)
                .write();
        }
        if (restarted) {
            while (!instance.idle.empty()) {
                auto connection = std::move(instance.idle.front());
                instance.idle.pop_front();
                close(std::move(connection));
            }
            instance.service_time = {};
            instance.denied_until = {};
            instance.connect_after = {};
            instance.failures = 0;
        }
        instance.entry = entry;
        instance.evacuated = evacuated.contains(entry.failure_domain);
        if (!entry.leaving && !instance.evacuated) {
            instance.unwanted_since.reset();
        } else if (!instance.unwanted_since) {
            instance.unwanted_since = now;
        }
        lost_instances_.erase(entry.id);
    }
    remove_missing(listed, now);
    choose_primary(now);
    pump();
}

void backend_group::remove_missing(const std::set<instance_id>& listed, time_point now) {
    for (auto item = instances_.begin(); item != instances_.end();) {
        if (listed.contains(item->first)) {
            ++item;
            continue;
        }
        event_line{"instance_gone"}.field("group", name_).field("instance", item->first).write();
        lost_instances_[item->first] = now;
        auto idle = std::move(item->second.idle);
        item = instances_.erase(item);
        for (auto& connection : idle) {
            connection->close();
        }
    }
    std::erase_if(lost_instances_,
                  [&](const auto& entry) { return now - entry.second > lost_instance_lifetime; });
}

std::vector<instance_entry> backend_group::entries() const {
    std::vector<instance_entry> result;
    for (const auto& [id, instance] : instances_) {
        result.push_back(instance.entry);
    }
    return result;
}

bool backend_group::is_draining(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found == instances_.end() || found->second.entry.leaving || found->second.evacuated;
}

bool backend_group::claims_primary(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found != instances_.end() && found->second.entry.claims_primary;
}

bool backend_group::has_recently_lost_instance(time_point now) const {
    return std::any_of(lost_instances_.begin(), lost_instances_.end(), [&](const auto& entry) {
        return now - entry.second <= lost_instance_lifetime;
    });
}

bool backend_group::may_serve(const instance_state& instance, const acquire_request& request,
                              time_point now) const {
    const auto& id = instance.entry.id;
    const bool is_primary = primary_ == id;
    if (request.excluded.contains(id) || (request.queue_entry.needs_primary && !is_primary) ||
        (request.leased_instance && *request.leased_instance != id)) {
        return false;
    }
    if (instance.unwanted_since) {
        const auto limit = instance.evacuated ? evacuated_primary_limit : leaving_primary_limit;
        if (!request.queue_entry.needs_primary || now - *instance.unwanted_since > limit) {
            return false;
        }
    }
    if (is_primary && watch_.is_dead(now)) {
        return false;
    }
    if (!is_primary && request.at_least && lags_behind(instance, *request.at_least, now)) {
        return false;
    }
    return instance.failures < 2 || now >= instance.connect_after;
}

bool backend_group::lags_behind(const instance_state& instance, log_index needed, time_point now) {
    return instance.position && *instance.position < needed &&
           now - instance.position_at < position_lifetime;
}

pool_limits backend_group::share(const instance_pool_owner& home) const {
    if (home.is_self) {
        return pool_owner_connections(settings_.max_connections, settings_.customers);
    }
    return divide_connections(settings_.max_connections, environment_.live_host_count(),
                              environment_.own_traffic_share());
}

placement_candidate backend_group::describe(const instance_state& instance,
                                            const instance_pool_owner& home,
                                            const customer_id& customer, time_point now) const {
    placement_candidate item;
    item.instance = instance.entry.id;
    item.is_primary = primary_ == instance.entry.id;
    item.same_domain = instance.entry.failure_domain == environment_.own_domain;
    item.outstanding = instance.outstanding;
    item.slots = instance.entry.slots;
    item.service_time = instance.service_time;
    if (!home.host.empty()) {
        item.queue_time = instance.queue_time;
        item.has_free_connection = true;
        return item;
    }
    if (instance.outstanding - instance.paused >= instance.entry.slots + statements_in_transit) {
        return item;
    }
    item.has_free_connection =
        std::any_of(instance.idle.begin(), instance.idle.end(),
                    [&](const auto& connection) { return connection->customer == customer; });
    const auto part = share(home);
    const unsigned most = now < instance.full_until ? part.core_size : part.max_size;
    const bool may_connect = now >= instance.connect_after;
    item.can_open = may_connect && instance.open < most;
    item.can_replace = may_connect && !instance.idle.empty();
    return item;
}

std::optional<backend_group::assignment> backend_group::assign(const acquire_request& request,
                                                               bool only_free_connections,
                                                               time_point now) {
    std::vector<placement_candidate> candidates;
    std::map<instance_id, instance_pool_owner> homes;
    for (const auto& [id, instance] : instances_) {
        if (!may_serve(instance, request, now)) {
            continue;
        }
        const auto home = request.leased_instance ? instance_pool_owner{true, {}}
                                                  : environment_.pool_owner_of(instance.entry);
        const auto item = describe(instance, home, request.queue_entry.customer, now);
        if (item.has_free_connection || !only_free_connections) {
            candidates.push_back(item);
            homes.emplace(id, home);
        }
    }
    const auto chosen = choose_instance(candidates, setup_time_);
    if (!chosen) {
        return std::nullopt;
    }
    auto& instance = instances_.at(*chosen);
    assignment result{*chosen, instance.epoch, homes.at(*chosen).host, nullptr};
    if (request.at_least && instance.position && *instance.position < *request.at_least) {
        // Until this read is answered, others need not find out the same.
        instance.position_at = now;
    }
    ++instance.outstanding;
    ++under_way_[request.queue_entry.customer];
    if (!result.home.empty()) {
        return result;
    }
    // The connection used last is the most likely to be still open and to fit the session.
    const auto free =
        std::find_if(instance.idle.rbegin(), instance.idle.rend(), [&](const auto& connection) {
            return connection->customer == request.queue_entry.customer;
        });
    if (free != instance.idle.rend()) {
        result.connection = std::move(*free);
        instance.idle.erase(std::next(free).base());
    } else {
        const auto& candidate = *std::find_if(candidates.begin(), candidates.end(),
                                              [&](const auto& c) { return c.instance == *chosen; });
        if (!candidate.can_open) {
            auto oldest = std::move(instance.idle.front());
            instance.idle.pop_front();
            oldest->link->close();
            --instance.open;
        }
        ++instance.open;
    }
    return result;
}

void backend_group::on_run_started(pooled_connection& connection) {
    if (connection.paused) {
        connection.paused = false;
        if (auto* state = find_state(connection.instance, connection.epoch)) {
            --state->paused;
        }
    }
}

void backend_group::on_run_ended(pooled_connection& connection) {
    if (connection.in_transaction && !connection.remote && connection.is_open()) {
        connection.paused = true;
        if (auto* state = find_state(connection.instance, connection.epoch)) {
            ++state->paused;
        }
        pump();
    }
}

void backend_group::on_request_sent(const instance_id& instance, bool is_commit) {
    if (primary_ == instance) {
        watch_.on_statement_sent(steady_clock::now());
        if (is_commit) {
            watch_.on_commit_sent(steady_clock::now());
        }
    }
}

void backend_group::on_answer(const instance_id& instance, bool is_commit, duration elapsed,
                              const statement_answer& answer) {
    const auto now = steady_clock::now();
    if (primary_ == instance) {
        watch_.on_answer(now);
        if (is_commit && answer.code == answer_code::done) {
            watch_.on_commit_answered(now);
        }
    }
    if (answer.position) {
        newest_term_ = std::max(newest_term_, answer.position->term);
    }
    const auto found = instances_.find(instance);
    if (found == instances_.end()) {
        return;
    }
    found->second.failures = 0;
    if (answer.position) {
        found->second.position = answer.position;
        found->second.position_at = now;
    }
    // Answers that no slot worked for are no measure of the instance's speed.
    if (answer.code == answer_code::done && answer.text != "-") {
        found->second.service_time = smooth(found->second.service_time, elapsed);
    }
}

void backend_group::on_no_answer(const instance_id& instance, bool is_commit) {
    const auto now = steady_clock::now();
    if (primary_ == instance && is_commit) {
        watch_.on_commit_timeout(now);
    }
    const auto found = instances_.find(instance);
    if (found != instances_.end()) {
        constexpr milliseconds silent_instance_pause{500};
        ++found->second.failures;
        found->second.connect_after = std::max(
            found->second.connect_after,
            primary_ == instance ? found->second.connect_after : now + silent_instance_pause);
    }
}

void backend_group::on_acknowledged(log_index position) {
    if (!acknowledged_ || *acknowledged_ < position) {
        acknowledged_ = position;
    }
}

void backend_group::tick(time_point now) {
    watch_.tick(now);
    for (auto& [id, instance] : instances_) {
        trim_idle(instance, now);
        measure_releases(instance, now);
    }
    if (primary_ && !probing_ && watch_.should_probe(now)) {
        const auto found = instances_.find(*primary_);
        if (found != instances_.end()) {
            probing_ = true;
            asio::co_spawn(environment_.executor, probe(found->second.entry.address, *primary_),
                           asio::detached);
        }
    }
    if (primary_is_dead(now)) {
        environment_.refresh_directory();
        choose_primary(now);
    }
    const auto newest = proofs_.newest();
    const bool is_old = !newest || boot_clock::now() - *newest > proof_refresh_age;
    if (is_old && now - last_position_use_ < position_use_lifetime && !refreshing_position_ &&
        !last_customer_.empty() && !primary_is_dead(now)) {
        refreshing_position_ = true;
        asio::co_spawn(environment_.executor, refresh_position(last_customer_), asio::detached);
    }
    pump();
}

asio::awaitable<void> backend_group::refresh_position(customer_id customer) {
    const auto self = shared_from_this();
    constexpr milliseconds refresh_timeout{300};
    const auto deadline = steady_clock::now() + refresh_timeout;
    std::optional<position_proof> told;
    const auto found = primary_ ? instances_.find(*primary_) : instances_.end();
    if (found != instances_.end()) {
        const auto home = environment_.pool_owner_of(found->second.entry).host;
        if (!home.empty()) {
            told = co_await environment_.request_position(home, customer, deadline);
        }
    }
    if (told && instances_.contains(told->instance)) {
        add_proof(told->instance, told->moment, told->position);
    } else {
        co_await prove_position(std::move(customer), deadline);
    }
    refreshing_position_ = false;
}

asio::awaitable<void> backend_group::prove_position(customer_id customer, time_point deadline) {
    acquire_request request;
    request.queue_entry.customer = customer;
    request.queue_entry.needs_primary = true;
    request.queue_entry.deadline = deadline;
    request.queue_entry.latest_start = deadline;
    try {
        auto result = co_await acquire(std::move(request));
        if (auto* lease = std::get_if<connection_lease>(&result)) {
            co_await lease->begin(false, std::nullopt, deadline);
        }
    } catch (const link_error& failure) {
        event_line{"position_unknown"}
            .field("group", name_)
            .field("reason", failure.what())
            .write();
    }
}

asio::awaitable<std::optional<log_index>> backend_group::position_at(boot_time moment,
                                                                     const customer_id& customer,
                                                                     time_point deadline) {
    const auto self = shared_from_this();
    constexpr milliseconds poll_interval{5};
    last_position_use_ = steady_clock::now();
    last_customer_ = customer;
    for (;;) {
        if (auto position = proofs_.covering(moment)) {
            co_return position;
        }
        const auto now = steady_clock::now();
        if (now >= deadline) {
            co_return std::nullopt;
        }
        if (!refreshing_position_) {
            refreshing_position_ = true;
            asio::co_spawn(environment_.executor, refresh_position(customer), asio::detached);
        }
        asio::steady_timer pause{environment_.executor, poll_interval};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

}  // namespace masticgrade
