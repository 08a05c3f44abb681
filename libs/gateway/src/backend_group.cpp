#include "backend_group.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// How long a replica's reported position is trusted; afterwards one read may try the replica
/// again.
constexpr milliseconds position_lifetime{150};
/// While reads need position proofs, a new one is requested when the last one is this old.
constexpr milliseconds proof_refresh_age{350};
/// Proofs are refreshed until no read has needed one for this long.
constexpr seconds position_use_lifetime{3};
constexpr seconds lost_instance_lifetime{20};
/// Maximum time for which a primary that is shutting down receives new work while it is being
/// replaced. Instances terminate 7 s after the store has recorded the notice.
constexpr milliseconds leaving_primary_limit{4500};
/// The same for a primary in an evacuated failure domain, which must be idle after 5 s.
constexpr milliseconds evacuated_primary_limit{2800};
/// Weight of a new sample in the moving average of statement times.
constexpr double smoothing_factor = 0.15;
/// Statements sent to an instance beyond its number of slots, so that no slot is idle while the
/// next statement is in transit.
constexpr unsigned statements_in_transit = 2;

microseconds moving_average(microseconds old_value, duration sample) {
    const auto value = std::chrono::duration_cast<microseconds>(sample);
    if (old_value.count() == 0) {
        return value;
    }
    return microseconds{static_cast<microseconds::rep>(
        static_cast<double>(old_value.count()) +
        smoothing_factor * static_cast<double>((value - old_value).count()))};
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
    const bool is_first_read = last_generation_ == 0;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        auto [found, added] = instances_.try_emplace(entry.id);
        auto& instance = found->second;
        if (added) {
            instance.generation = ++last_generation_;
            if (const auto position = unlisted_positions_.positions().find(entry.id);
                position != unlisted_positions_.positions().end()) {
                // It may have started again while it was not listed.
                instance.highest_position = position->second;
                instance.may_have_restarted = true;
            }
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
            keep_log_holder(log_holder_of(instance.entry));
            while (!instance.idle.empty()) {
                auto connection = std::move(instance.idle.front());
                instance.idle.pop_front();
                close(std::move(connection));
            }
            instance.service_time = {};
            instance.log_term = {};
            instance.reported_end.reset();
            instance.may_have_restarted = true;
            instance.position_fell = false;
            instance.denied_until = {};
            instance.connect_after = {};
            instance.restarted_at = now;
            instance.failures = 0;
        }
        const bool new_start = !is_first_read && (restarted || (added && is_new_start(entry)));
        pace_entry(instance, entry, new_start, now);
        instance.entry = entry;
        instance.evacuated = evacuated.contains(entry.failure_domain);
        if (!entry.leaving && !instance.evacuated) {
            instance.draining_since.reset();
        } else if (!instance.draining_since) {
            instance.draining_since = now;
        }
        lost_instances_.erase(entry.id);
    }
    remove_missing(listed, now);
    update_primary(now);
    dispatch_waiting();
}

void backend_group::remove_missing(const std::set<instance_id>& listed, time_point now) {
    for (auto item = instances_.begin(); item != instances_.end();) {
        if (listed.contains(item->first)) {
            ++item;
            continue;
        }
        event_line{"instance_gone"}.field("group", name_).field("instance", item->first).write();
        lost_instances_[item->first] = {now, item->second.entry.address,
                                        item->second.entry.start_time};
        keep_log_holder(log_holder_of(item->second.entry));
        if (item->second.highest_position) {
            unlisted_positions_.on_seen(item->first, *item->second.highest_position);
        }
        auto idle = std::move(item->second.idle);
        item = instances_.erase(item);
        for (auto& connection : idle) {
            connection->close();
        }
    }
    std::erase_if(lost_instances_, [&](const auto& entry) {
        return now - entry.second.lost_at > lost_instance_lifetime;
    });
}

std::vector<instance_entry> backend_group::entries() const {
    std::vector<instance_entry> result;
    for (const auto& [id, instance] : instances_) {
        result.push_back(instance.entry);
    }
    return result;
}

bool backend_group::lists_others_than_primary() const {
    const auto leading = primary();
    return std::any_of(instances_.begin(), instances_.end(),
                       [&](const auto& item) { return item.first != leading; });
}

std::optional<log_holder> backend_group::primary_process() const {
    const auto leading = primary();
    const auto found = leading ? instances_.find(*leading) : instances_.end();
    return found == instances_.end() ? std::nullopt
                                     : std::optional{log_holder_of(found->second.entry)};
}

bool backend_group::is_draining(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found == instances_.end() || found->second.entry.leaving || found->second.evacuated;
}

bool backend_group::claims_primary(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found != instances_.end() && found->second.entry.claims_primary;
}

bool backend_group::is_listed(const log_holder& holder) const {
    const auto found = instances_.find(holder.instance);
    return found != instances_.end() && log_holder_of(found->second.entry) == holder;
}

bool backend_group::has_ended(const log_holder& holder) const {
    return std::any_of(instances_.begin(), instances_.end(), [&](const auto& instance) {
        return is_successor(instance.second.entry, holder);
    });
}

std::optional<log_holder> backend_group::present_process(const log_holder& holder) const {
    const auto found = instances_.find(holder.instance);
    if (found == instances_.end()) {
        return std::nullopt;
    }
    const auto listed = log_holder_of(found->second.entry);
    const bool is_same_start = listed.start_time == holder.start_time && holder.start_time != 0;
    return listed == holder || is_same_start ? std::optional{listed} : std::nullopt;
}

std::optional<log_holder> backend_group::heir_of(const log_holder& holder) const {
    std::optional<log_holder> result;
    std::set<instance_id> successors;
    for (const auto& other : log_holders()) {
        if (other == holder || other.start_time < holder.start_time) {
            continue;
        }
        const bool is_at_address = other.address == holder.address;
        if (other.instance == holder.instance ||
            (is_at_address && !successors.insert(other.instance).second)) {
            return std::nullopt;
        }
        if (is_at_address && is_listed(other)) {
            result = other;
        }
    }
    return result;
}

bool backend_group::has_earlier_process(const log_holder& process) const {
    const auto holders = log_holders();
    return std::any_of(holders.begin(), holders.end(), [&](const auto& other) {
        return other.instance == process.instance && other.start_time != process.start_time;
    });
}

void backend_group::keep_log_holder(const log_holder& holder) {
    if (!last_failover().log_holders.contains(holder)) {
        unrecorded_log_holders_.insert(holder);
    }
}

void backend_group::forget_log_holders(const std::set<log_holder>& ended) {
    std::erase_if(unrecorded_log_holders_,
                  [&](const auto& holder) { return ended.contains(holder); });
}

bool backend_group::log_holders_are_recorded() const {
    const auto& recorded = last_failover().log_holders;
    return unrecorded_log_holders_.empty() &&
           std::equal(recorded.begin(), recorded.end(), instances_.begin(), instances_.end(),
                      [](const auto& holder, const auto& instance) {
                          return holder == log_holder_of(instance.second.entry);
                      });
}

std::set<log_holder> backend_group::log_holders() const {
    auto result = last_failover().log_holders;
    result.insert(unrecorded_log_holders_.begin(), unrecorded_log_holders_.end());
    for (const auto& [id, instance] : instances_) {
        result.insert(log_holder_of(instance.entry));
    }
    return result;
}

std::set<log_holder> backend_group::unlisted_log_holders() const {
    auto result = log_holders();
    std::erase_if(result, [&](const auto& holder) { return is_listed(holder); });
    return result;
}

std::set<log_holder> backend_group::lost_instances(time_point now) const {
    std::set<log_holder> result;
    for (const auto& [id, lost] : lost_instances_) {
        const log_holder holder{id, lost.address, lost.start_time};
        if (!has_ended(holder) && now - lost.lost_at <= lost_instance_lifetime) {
            result.insert(holder);
        }
    }
    return result;
}

bool backend_group::is_eligible(const instance_state& instance, const acquire_request& request,
                                time_point now) const {
    const auto& id = instance.entry.id;
    const bool is_primary = primary_ == id;
    if (request.excluded.contains(id) || (request.queue_entry.needs_primary && !is_primary) ||
        (request.leased_instance && *request.leased_instance != id)) {
        return false;
    }
    if (instance.draining_since) {
        const auto limit = instance.evacuated ? evacuated_primary_limit : leaving_primary_limit;
        if (!request.queue_entry.needs_primary || now - *instance.draining_since > limit) {
            return false;
        }
    }
    if (is_primary && failure_detector_.is_dead(now)) {
        return false;
    }
    if (request.queue_entry.needs_primary && !may_lead(id, boot_clock::now())) {
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

unsigned backend_group::max_in_flight(const instance_state& instance) {
    return instance.entry.slots + statements_in_transit;
}

pool_limits backend_group::limits_for(const instance_pool_owner& owner) const {
    if (owner.is_self) {
        return pool_owner_connections(settings_.max_connections, settings_.customers);
    }
    if (!owner.host.empty()) {
        return borrower_connections();
    }
    return divide_connections(settings_.max_connections, environment_.live_host_count(),
                              environment_.local_load_fraction());
}

placement_candidate backend_group::make_candidate(const instance_state& instance,
                                                  const instance_pool_owner& owner,
                                                  const customer_id& customer,
                                                  time_point now) const {
    placement_candidate item;
    item.instance = instance.entry.id;
    item.is_primary = primary_ == instance.entry.id;
    item.same_domain = instance.entry.failure_domain == environment_.own_domain;
    item.outstanding = instance.outstanding;
    item.slots = instance.entry.slots;
    item.service_time = instance.service_time;
    if (!owner.host.empty()) {
        item.queue_time = instance.queue_time;
        item.is_remote = true;
        item.has_free_connection = true;
        return item;
    }
    const unsigned in_flight = instance.outstanding - instance.idle_in_transaction;
    if (in_flight >= max_in_flight(instance) || !instance.pace.admits(in_flight, now)) {
        return item;
    }
    item.has_free_connection =
        std::any_of(instance.idle.begin(), instance.idle.end(),
                    [&](const auto& connection) { return connection->customer == customer; });
    const auto limits = limits_for(owner);
    const unsigned max_open =
        now < instance.connection_limit_until ? limits.core_size : limits.max_size;
    const bool may_connect = now >= instance.connect_after;
    item.can_open = may_connect && instance.open < max_open;
    item.can_replace = may_connect && !instance.idle.empty();
    return item;
}

std::optional<backend_group::assignment> backend_group::assign(const acquire_request& request,
                                                               bool only_free_connections,
                                                               time_point now) {
    std::vector<placement_candidate> candidates;
    std::map<instance_id, instance_pool_owner> owners;
    for (auto& [id, instance] : instances_) {
        if (!is_eligible(instance, request, now)) {
            continue;
        }
        const auto owner = request.leased_instance ? instance_pool_owner{true, {}}
                                                   : environment_.pool_owner_of(instance.entry);
        if (!request.sends_no_statement && !warmup_admits(instance, owner, now)) {
            continue;
        }
        const auto item = make_candidate(instance, owner, request.queue_entry.customer, now);
        if (item.has_free_connection || !only_free_connections) {
            candidates.push_back(item);
            owners.emplace(id, owner);
        }
    }
    if (!request.leased_instance && !request.queue_entry.needs_primary) {
        mark_avoided(candidates, request.queue_entry.customer);
    }
    const auto chosen = choose_instance(candidates, connection_setup_time_);
    if (!chosen) {
        return std::nullopt;
    }
    auto& instance = instances_.at(*chosen);
    assignment result{*chosen, instance.generation, owners.at(*chosen).host, nullptr};
    if (request.at_least && instance.position && *instance.position < *request.at_least) {
        // This read determines the replica's position; other reads avoid the replica meanwhile.
        instance.position_at = now;
    }
    ++instance.outstanding;
    ++in_flight_[request.queue_entry.customer];
    if (!result.pool_owner.empty()) {
        return result;
    }
    // The most recently used connection is the most likely to be open and to match the session.
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
            close(take_connection_to_close(instance));
        }
        ++instance.open;
    }
    return result;
}

void backend_group::mark_avoided(std::vector<placement_candidate>& candidates,
                                 const customer_id& customer) const {
    const auto core_size =
        pool_owner_connections(settings_.max_connections, settings_.customers).core_size;
    if (settings_.customers <= core_size) {
        return;
    }
    std::vector<instance_id> replicas;
    for (const auto& [id, instance] : instances_) {
        if (primary_ != id && !instance.draining_since) {
            replicas.push_back(id);
        }
    }
    const auto preferred = preferred_instances(customer, replicas, settings_.customers, core_size);
    for (auto& item : candidates) {
        item.is_avoided = item.is_remote && !item.is_primary && !preferred.empty() &&
                          !preferred.contains(item.instance);
    }
}

std::unique_ptr<pooled_connection> backend_group::take_connection_to_close(
    instance_state& instance) {
    std::vector<customer_id> customers;
    customers.reserve(instance.idle.size());
    for (const auto& connection : instance.idle) {
        customers.push_back(connection->customer);
    }
    const auto chosen = std::next(
        instance.idle.begin(), static_cast<std::ptrdiff_t>(choose_connection_to_close(customers)));
    auto connection = std::move(*chosen);
    instance.idle.erase(chosen);
    return connection;
}

void backend_group::on_run_started(pooled_connection& connection) {
    if (connection.idle_in_transaction) {
        connection.idle_in_transaction = false;
        if (auto* state = find_state(connection.instance, connection.generation)) {
            --state->idle_in_transaction;
        }
    }
}

void backend_group::on_run_ended(pooled_connection& connection) {
    if (connection.in_transaction && !connection.remote && connection.is_open()) {
        connection.idle_in_transaction = true;
        if (auto* state = find_state(connection.instance, connection.generation)) {
            ++state->idle_in_transaction;
        }
        dispatch_waiting();
    }
}

void backend_group::on_request_sent(const instance_id& instance, bool is_commit) {
    if (primary_ == instance) {
        failure_detector_.on_statement_sent(steady_clock::now());
        if (is_commit) {
            failure_detector_.on_commit_sent(steady_clock::now());
        }
    }
}

void backend_group::on_answer(const instance_id& instance, bool is_commit, duration elapsed,
                              const statement_answer& answer) {
    const auto now = steady_clock::now();
    if (primary_ == instance) {
        failure_detector_.on_answer(now);
        if (is_commit && answer.code == answer_code::done) {
            failure_detector_.on_commit_answered(now);
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
        found->second.highest_position = std::max(found->second.highest_position, answer.position);
        found->second.highest_number =
            std::max(found->second.highest_number, answer.position->number);
        found->second.log_term = std::max(found->second.log_term, answer.position->term);
        on_log_seen(instance, *answer.position);
    }
    // Answers that needed no slot don't reflect the instance's speed.
    if (answer.code == answer_code::done && answer.text != "-") {
        found->second.service_time = moving_average(found->second.service_time, elapsed);
    }
    pace_answer(found->second, answer, elapsed, now);
}

void backend_group::on_no_answer(const instance_id& instance, bool is_commit) {
    const auto now = steady_clock::now();
    if (primary_ == instance && is_commit) {
        failure_detector_.on_commit_timeout(now);
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

void backend_group::on_answer_mismatch(const instance_id& instance) {
    environment_.metrics.count("masticgrade_answer_mismatches_total",
                               "Connections closed since an answer could not be matched.");
    if (primary_ == instance) {
        failure_detector_.on_answer(steady_clock::now());
    }
}

std::optional<log_index> backend_group::highest_position(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found == instances_.end() ? std::nullopt : found->second.highest_position;
}

void backend_group::on_commit_answered(std::optional<log_index> position) {
    acknowledgements_.on_answered(position, boot_clock::now());
}

void backend_group::on_acknowledged(log_index position, std::optional<log_index> seen_before) {
    acknowledgements_.on_acknowledged(position, seen_before);
}

void backend_group::tick(time_point now) {
    failure_detector_.tick(now);
    for (auto& [id, instance] : instances_) {
        trim_idle(instance, now);
        measure_release_rate(instance, now);
        pace_tick(instance, now);
    }
    if (primary_ && !probe_in_progress_ && failure_detector_.should_probe(now)) {
        const auto found = instances_.find(*primary_);
        if (found != instances_.end()) {
            probe_in_progress_ = true;
            asio::co_spawn(environment_.executor, probe(found->second.entry.address, *primary_),
                           asio::detached);
        }
    }
    if (primary_is_dead(now)) {
        environment_.refresh_directory();
        update_primary(now);
    }
    if (has_usable_primary(now)) {
        primary_unusable_since_.reset();
    } else if (!primary_unusable_since_) {
        primary_unusable_since_ = now;
    }
    const auto newest = proofs_.newest();
    const bool is_old = !newest || boot_clock::now() - *newest > proof_refresh_age;
    if (is_old && position_customer(now) && !position_refresh_in_progress_ &&
        !primary_is_dead(now) && !environment_.positions_are_relayed()) {
        position_refresh_in_progress_ = true;
        asio::co_spawn(environment_.executor, refresh_position(last_customer_), asio::detached);
    }
    dispatch_waiting();
}

std::optional<customer_id> backend_group::position_customer(time_point now) const {
    if (last_customer_.empty() || now - last_position_use_ >= position_use_lifetime) {
        return std::nullopt;
    }
    return last_customer_;
}

void backend_group::keep_position_fresh(const customer_id& customer) {
    last_position_use_ = steady_clock::now();
    if (last_customer_.empty()) {
        last_customer_ = customer;
    }
}

std::optional<dated_position> backend_group::newest_proven_position() const {
    const auto moment = proofs_.newest();
    const auto position = moment ? proofs_.covering(*moment) : std::nullopt;
    return position ? std::optional{dated_position{*moment, *position}} : std::nullopt;
}

std::optional<position_proof> backend_group::newest_proof() const {
    const auto proof = newest_proven_position();
    if (!proof || !primary_) {
        return std::nullopt;
    }
    return position_proof{*primary_, proof->moment, proof->position};
}

asio::awaitable<void> backend_group::refresh_position(customer_id customer) {
    const auto self = shared_from_this();
    const scope_guard ended{[&] { position_refresh_in_progress_ = false; }};
    constexpr milliseconds refresh_timeout{300};
    const auto deadline = steady_clock::now() + refresh_timeout;
    std::optional<position_proof> proof;
    const auto found = primary_ ? instances_.find(*primary_) : instances_.end();
    if (found != instances_.end()) {
        const auto owner = environment_.pool_owner_of(found->second.entry).host;
        if (!owner.empty()) {
            proof = co_await environment_.query_position(owner, customer, deadline);
        }
    }
    if (proof && instances_.contains(proof->instance)) {
        add_proof(proof->instance, proof->moment, proof->position);
    } else {
        co_await prove_position(std::move(customer), deadline);
    }
}

asio::awaitable<void> backend_group::prove_position(customer_id customer, time_point deadline) {
    acquire_request request;
    request.queue_entry.customer = customer;
    request.queue_entry.needs_primary = true;
    request.queue_entry.deadline = deadline;
    request.queue_entry.latest_start = deadline;
    request.sends_no_statement = true;
    try {
        auto result = co_await acquire(std::move(request));
        if (auto* lease = std::get_if<connection_lease>(&result)) {
            const auto answer = co_await lease->begin(false, std::nullopt, deadline);
            if (answer.code == answer_code::done && !answer.position) {
                // On another connection, the answer to BEGIN may show that it is new.
                lease->discard();
            }
        }
    } catch (const connection_error& failure) {
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
        if (!position_refresh_in_progress_) {
            position_refresh_in_progress_ = true;
            asio::co_spawn(environment_.executor, refresh_position(customer), asio::detached);
        }
        asio::steady_timer pause{environment_.executor, poll_interval};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

}  // namespace masticgrade
