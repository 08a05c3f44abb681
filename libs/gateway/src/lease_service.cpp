#include "lease_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Network round-trip time, in addition to the processing time allowed at the pool owner.
constexpr milliseconds round_trip_allowance{60};
/// Time for which no connections are leased from a host after a call to it failed.
constexpr milliseconds unusable_period{700};
/// Lease holders abort idle transactions after 3 s, so the holder of a lease that is idle for much
/// longer is gone.
constexpr seconds idle_lease_limit{6};

milliseconds time_left(time_point moment) {
    return std::chrono::duration_cast<milliseconds>(moment - steady_clock::now());
}

/// An announcement of a failover's outcome that is not sent within this time is dropped; hosts also
/// read the outcome from the store.
constexpr seconds announcement_lifetime{1};

/// Maximum age of the position proof that a pool owner answers with. Routes allow a staleness of at
/// least one second.
constexpr milliseconds max_position_age{150};
/// Older position proofs are not told to other hosts.
constexpr std::chrono::minutes max_reported_proof_age{30};

/// A connection leased from the pool of the host `owner`.
class leased_connection final : public remote_connection {
public:
    leased_connection(std::shared_ptr<lease_service> service, host_id owner, lease_id lease,
                      std::string instance)
        : service_(std::move(service)),
          owner_(std::move(owner)),
          lease_(lease),
          instance_(std::move(instance)) {}
    leased_connection(const leased_connection&) = delete;
    leased_connection& operator=(const leased_connection&) = delete;
    ~leased_connection() override { close(); }

    void set_context(const session_context& session, const prepared_statement* needed) override {
        if (!sent_values_ || *sent_values_ != session.values) {
            pending_values_ = session.values;
        }
        prepared_ = needed == nullptr ? std::nullopt : std::optional{*needed};
    }

    asio::awaitable<std::vector<statement_answer>> run(std::vector<backend_request> requests,
                                                       time_point deadline) override {
        const auto count = requests.size();
        run_request call;
        call.lease = lease_;
        call.values = pending_values_;
        call.prepared = prepared_;
        call.steps = std::move(requests);
        auto result = co_await service_->run(owner_, std::move(call), deadline);
        if (result.failure == lease_failure::mismatched) {
            open_ = false;
            throw answer_mismatch_error(instance_, result.reason, true);
        }
        if (result.failure != lease_failure::none || result.answers.size() != count) {
            open_ = false;
            throw connection_error("leased connection", instance_, result.reason,
                                   result.failure == lease_failure::none ||
                                       result.failure == lease_failure::broken_may_have_run);
        }
        if (pending_values_) {
            sent_values_ = std::move(pending_values_);
            pending_values_.reset();
        }
        prepared_.reset();
        co_return std::move(result.answers);
    }

    [[nodiscard]] bool is_open() const override { return open_ && !closed_; }

    void close() override {
        if (!closed_) {
            closed_ = true;
            service_->close(owner_, lease_);
        }
    }

private:
    std::shared_ptr<lease_service> service_;
    host_id owner_;
    lease_id lease_;
    std::string instance_;
    std::optional<std::map<std::string, std::string>> sent_values_;
    std::optional<std::map<std::string, std::string>> pending_values_;
    std::optional<prepared_statement> prepared_;
    bool open_ = true;
    bool closed_ = false;
};

}  // namespace

lease_service::lease_service(lease_environment environment)
    : environment_(std::move(environment)) {}

peer::service_message lease_service::make_message(lease_payload call) const {
    lease_message message;
    message.sender_uptime = environment_.uptime();
    message.call = std::move(call);
    return {encode_lease_message(message)};
}

bool lease_service::is_unusable(const host_id& host) const {
    const auto found = unusable_until_.find(host);
    return found != unusable_until_.end() && steady_clock::now() < found->second;
}

asio::awaitable<lease_message> lease_service::exchange(const host_id& host, lease_payload request,
                                                       time_point deadline) {
    const auto address = environment_.address_of(host);
    if (!address) {
        throw error("call host", host.str(), "its address is unknown");
    }
    peer::message_body body = make_message(std::move(request));
    const auto reply = co_await environment_.peers.request(*address, std::move(body), deadline);
    const auto* payload = std::get_if<peer::service_message>(&reply.body);
    if (payload == nullptr) {
        throw error("call host", host.str(), "the reply is of another kind");
    }
    co_return decode_lease_message(payload->payload);
}

asio::awaitable<lease_payload> lease_service::call(const host_id& host, lease_payload request,
                                                   time_point deadline) {
    auto reply = co_await exchange(host, std::move(request), deadline);
    co_return std::move(reply.call);
}

asio::awaitable<remote_acquire_result> lease_service::acquire_remote(host_id owner,
                                                                     instance_id instance,
                                                                     group_id group,
                                                                     acquire_request request) {
    const auto self = shared_from_this();
    lease_request lease_to_open;
    lease_to_open.group = std::move(group);
    lease_to_open.instance = instance;
    lease_to_open.customer = request.queue_entry.customer;
    lease_to_open.needs_primary = request.queue_entry.needs_primary;
    lease_to_open.at_least = request.at_least;
    lease_to_open.time_to_deadline = time_left(request.queue_entry.deadline);
    lease_to_open.time_to_latest_start = time_left(request.queue_entry.latest_start);
    lease_to_open.priority = request.queue_entry.priority;
    remote_acquire_result result;
    try {
        lease_payload message = std::move(lease_to_open);
        const auto reply = co_await call(owner, std::move(message),
                                         request.queue_entry.deadline + round_trip_allowance);
        const auto* opened = std::get_if<lease_reply>(&reply);
        const auto failure = opened == nullptr ? lease_failure::not_served : opened->failure;
        if (failure == lease_failure::none) {
            result.connection =
                std::make_shared<leased_connection>(self, owner, opened->lease, instance.str());
            co_return result;
        }
        if (failure == lease_failure::overloaded || failure == lease_failure::timed_out) {
            result.failure = failure == lease_failure::overloaded ? acquire_failure::overloaded
                                                                  : acquire_failure::timed_out;
            co_return result;
        }
        event_line{"lease_refused"}
            .field("home", owner)
            .field("instance", instance)
            .field("late", failure == lease_failure::late)
            .write();
    } catch (const error& failure) {
        event_line{"lease_failed"}
            .field("home", owner)
            .field("instance", instance)
            .field("reason", failure.what())
            .write();
    }
    unusable_until_[owner] = steady_clock::now() + unusable_period;
    co_return result;
}

asio::awaitable<run_reply> lease_service::run(const host_id& owner, run_request steps,
                                              time_point deadline) {
    const auto self = shared_from_this();
    steps.remaining = time_left(deadline);
    run_reply result;
    try {
        lease_payload message = std::move(steps);
        auto reply = co_await call(owner, std::move(message), deadline + round_trip_allowance);
        if (auto* done = std::get_if<run_reply>(&reply)) {
            co_return std::move(*done);
        }
        result.reason = "the reply is of another kind";
    } catch (const error& failure) {
        result.reason = failure.what();
        unusable_until_[owner] = steady_clock::now() + unusable_period;
    }
    result.failure = lease_failure::broken_may_have_run;
    co_return result;
}

void lease_service::close(const host_id& owner, lease_id lease) {
    if (const auto address = environment_.address_of(owner)) {
        environment_.peers.send(*address, make_message(lease_release{lease}),
                                steady_clock::now() + idle_lease_limit);
    }
}

asio::awaitable<void> lease_service::measure_delay(host_id sender, incarnation_number incarnation) {
    const auto self = shared_from_this();
    const scope_guard ended{[&] { measuring_.erase(sender); }};
    const auto address = environment_.address_of(sender);
    if (!address) {
        co_return;
    }
    const auto asked_at = boot_clock::now();
    peer::message_body query = make_message(ping{});
    try {
        const auto reply = co_await environment_.peers.request(
            *address, std::move(query),
            steady_clock::now() + message_delay_estimator::max_round_trip);
        const auto* payload = std::get_if<peer::service_message>(&reply.body);
        if (payload != nullptr && reply.incarnation == incarnation) {
            const auto message = decode_lease_message(payload->payload);
            delays_.record_round_trip(sender, incarnation, message.sender_uptime, asked_at,
                                      boot_clock::now());
        }
    } catch (const error& failure) {
        event_line{"ping_failed"}.field("peer", sender).field("reason", failure.what()).write();
    }
}

void lease_service::on_report(const host_id& sender, incarnation_number incarnation) {
    if (!delays_.is_known(sender, incarnation) && measuring_.emplace(sender, incarnation).second) {
        asio::co_spawn(environment_.executor, measure_delay(sender, incarnation), asio::detached);
    }
    incarnations_[sender] = incarnation;
}

asio::awaitable<std::optional<peer::message_body>> lease_service::on_message(
    peer::envelope message) {
    const auto self = shared_from_this();
    const auto& payload = std::get<peer::service_message>(message.body);
    auto request = decode_lease_message(payload.payload);
    if (std::holds_alternative<ping>(request.call)) {
        co_return peer::message_body{make_message(pong{})};
    }
    if (const auto* closing = std::get_if<lease_release>(&request.call)) {
        const auto* lease = find_lease(closing->lease, message);
        if (lease != nullptr && !lease->busy) {
            leases_.erase(closing->lease);
        }
        co_return std::nullopt;
    }
    const bool late = delays_.is_late(message.sender, message.incarnation, request.sender_uptime,
                                      boot_clock::now());
    lease_payload reply;
    if (auto* opening = std::get_if<lease_request>(&request.call)) {
        if (late) {
            reply = lease_reply{{}, lease_failure::late};
        } else {
            reply = co_await grant(message, std::move(*opening));
        }
    } else if (auto* steps = std::get_if<run_request>(&request.call)) {
        if (late) {
            reply = run_reply{lease_failure::late, "the request was under way for too long", {}};
        } else {
            reply = co_await run_on_lease(message, std::move(*steps));
        }
    } else if (auto* query = std::get_if<position_query>(&request.call)) {
        reply = co_await answer_position_query(std::move(*query));
    } else if (const auto* positions = std::get_if<positions_query>(&request.call)) {
        reply = answer_positions_query(*positions);
    } else if (const auto* rows = std::get_if<row_query>(&request.call)) {
        reply = environment_.answer_row_query(*rows);
    } else if (const auto* begun = std::get_if<failover_begun>(&request.call)) {
        reply = confirm_failover(*begun);
    } else if (const auto* about = std::get_if<primary_query>(&request.call)) {
        reply = environment_.find_group(about->group)->report_primary(about->instance);
    } else if (const auto* usage = std::get_if<usage_update>(&request.call);
               usage != nullptr && environment_.receive_usage) {
        reply = environment_.receive_usage(message.sender, message.incarnation, *usage);
    } else if (std::holds_alternative<failover_recorded>(request.call)) {
        environment_.refresh_failovers();
        co_return std::nullopt;
    } else {
        co_return std::nullopt;
    }
    co_return peer::message_body{make_message(std::move(reply))};
}

asio::awaitable<lease_reply> lease_service::grant(const peer::envelope& message,
                                                  lease_request call) {
    if (!environment_.accepts_leases()) {
        co_return lease_reply{{}, lease_failure::not_served};
    }
    const auto now = steady_clock::now();
    acquire_request request;
    request.queue_entry.customer = call.customer;
    request.queue_entry.needs_primary = call.needs_primary;
    request.queue_entry.deadline = now + call.time_to_deadline;
    request.queue_entry.latest_start = now + call.time_to_latest_start;
    request.queue_entry.priority = call.priority;
    request.at_least = call.at_least;
    request.queue_entry.instance = call.instance;
    request.leased_instance = call.instance;
    const auto group = environment_.find_group(call.group);
    if (!group->is_listed(call.instance)) {
        co_return lease_reply{{}, lease_failure::not_served};
    }
    auto result = co_await group->acquire(std::move(request));
    if (auto* connection = std::get_if<connection_lease>(&result)) {
        const auto number = next_lease_id();
        auto& lease = leases_[number];
        lease.holder = message.sender;
        lease.incarnation = message.incarnation;
        lease.connection.emplace(std::move(*connection));
        lease.last_used = steady_clock::now();
        co_return lease_reply{number, lease_failure::none};
    }
    const bool overloaded = std::get<acquire_failure>(result) == acquire_failure::overloaded;
    co_return lease_reply{{}, overloaded ? lease_failure::overloaded : lease_failure::timed_out};
}

asio::awaitable<position_reply> lease_service::answer_position_query(position_query call) {
    const auto group = environment_.find_group(call.group);
    if (!environment_.accepts_leases() || !group->owns_primary_pool()) {
        // Forwarding the query could return it to the host that sent it.
        co_return position_reply{};
    }
    const auto moment = boot_clock::now() - max_position_age;
    const auto position =
        co_await group->position_at(moment, call.customer, steady_clock::now() + call.remaining);
    position_reply result;
    const auto primary = group->primary();
    if (position && primary) {
        result.instance = *primary;
        result.position = position;
        result.age = std::chrono::ceil<milliseconds>(boot_clock::now() - moment);
    }
    co_return result;
}

positions_reply lease_service::answer_positions_query(const positions_query& call) {
    positions_reply result;
    for (const auto& item : call.groups) {
        const auto group = environment_.find_group(item.group);
        group->keep_position_fresh(item.customer);
        if (const auto proof = group->newest_proof()) {
            result.positions.push_back(
                {item.group,
                 {proof->instance, proof->position,
                  std::chrono::ceil<milliseconds>(boot_clock::now() - proof->moment)}});
        }
    }
    return result;
}

asio::awaitable<std::optional<std::vector<group_position_proof>>> lease_service::query_positions(
    host_id host, positions_query query, time_point deadline) {
    const auto self = shared_from_this();
    const auto asked_at = boot_clock::now();
    lease_payload message = std::move(query);
    try {
        const auto reply = co_await call(host, std::move(message), deadline);
        if (const auto* answer = std::get_if<positions_reply>(&reply)) {
            std::vector<group_position_proof> proofs;
            for (const auto& item : answer->positions) {
                if (item.reply.position) {
                    proofs.push_back(
                        {item.group,
                         {item.reply.instance, asked_at - item.reply.age, *item.reply.position}});
                }
            }
            co_return proofs;
        }
    } catch (const error& failure) {
        event_line{"positions_query_failed"}
            .field("peer", host)
            .field("reason", failure.what())
            .write();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<position_proof>> lease_service::query_position(host_id owner,
                                                                             group_id group,
                                                                             customer_id customer,
                                                                             time_point deadline) {
    const auto self = shared_from_this();
    const auto asked_at = boot_clock::now();
    lease_payload query =
        position_query{std::move(group), std::move(customer), time_left(deadline)};
    try {
        const auto reply = co_await call(owner, std::move(query), deadline + round_trip_allowance);
        const auto* answer = std::get_if<position_reply>(&reply);
        if (answer != nullptr && answer->position) {
            co_return position_proof{answer->instance, asked_at - answer->age, *answer->position};
        }
    } catch (const error& failure) {
        event_line{"position_query_failed"}
            .field("home", owner)
            .field("reason", failure.what())
            .write();
        unusable_until_[owner] = steady_clock::now() + unusable_period;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<row_reply>> lease_service::query_rows(host_id host, row_query query,
                                                                    time_point deadline) {
    const auto self = shared_from_this();
    lease_payload message = std::move(query);
    try {
        auto reply = co_await call(host, std::move(message), deadline);
        if (auto* answer = std::get_if<row_reply>(&reply)) {
            co_return std::move(*answer);
        }
    } catch (const error& failure) {
        event_line{"row_query_failed"}.field("peer", host).field("reason", failure.what()).write();
    }
    co_return std::nullopt;
}

failover_confirmed lease_service::confirm_failover(const failover_begun& call) {
    const auto group = environment_.find_group(call.group);
    group->on_failover_begun(call.fence);
    failover_confirmed result;
    // Read afterwards: what is answered later is not acknowledged.
    result.acknowledged = group->acknowledged();
    result.replicas = group->replica_positions_seen();
    const auto proof = group->newest_proven_position();
    const auto now = boot_clock::now();
    if (proof && now - proof->moment < max_reported_proof_age) {
        result.proof = proof->position;
        result.proof_age = std::chrono::ceil<milliseconds>(now - proof->moment);
    }
    return result;
}

asio::awaitable<std::optional<host_acknowledgements>> lease_service::announce_failover(
    host_id host, failover_begun announcement, time_point deadline) {
    const auto self = shared_from_this();
    const auto asked_at = boot_clock::now();
    lease_payload message = std::move(announcement);
    try {
        const auto reply = co_await exchange(host, std::move(message), deadline);
        if (const auto* confirmed = std::get_if<failover_confirmed>(&reply.call)) {
            host_acknowledgements result{host, boot_clock::now() - reply.sender_uptime,
                                         confirmed->acknowledged, std::nullopt,
                                         confirmed->replicas};
            if (confirmed->proof) {
                result.newest_proof =
                    dated_position{asked_at - confirmed->proof_age, *confirmed->proof};
            }
            co_return result;
        }
    } catch (const error& failure) {
        event_line{"failover_unconfirmed"}
            .field("peer", host)
            .field("reason", failure.what())
            .write();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<primary_reply>> lease_service::query_primary(host_id host,
                                                                           primary_query query,
                                                                           time_point deadline) {
    const auto self = shared_from_this();
    lease_payload message = std::move(query);
    try {
        const auto reply = co_await call(host, std::move(message), deadline);
        if (const auto* answer = std::get_if<primary_reply>(&reply)) {
            co_return *answer;
        }
    } catch (const error& failure) {
        event_line{"primary_query_failed"}
            .field("peer", host)
            .field("reason", failure.what())
            .write();
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<usage_acknowledgement>> lease_service::send_usage(
    host_id host, usage_update update, time_point deadline) {
    const auto self = shared_from_this();
    lease_payload message = std::move(update);
    try {
        const auto reply = co_await call(host, std::move(message), deadline);
        if (const auto* answer = std::get_if<usage_acknowledgement>(&reply)) {
            co_return *answer;
        }
    } catch (const error& failure) {
        event_line{"usage_not_acknowledged"}
            .field("peer", host)
            .field("reason", failure.what())
            .write();
    }
    co_return std::nullopt;
}

void lease_service::announce_recorded(const host_id& host, failover_recorded announcement) {
    if (const auto address = environment_.address_of(host)) {
        environment_.peers.send(*address, make_message(std::move(announcement)),
                                steady_clock::now() + announcement_lifetime);
    }
}

lease_id lease_service::next_lease_id() {
    constexpr unsigned bits_per_process = 32;
    return lease_id{(environment_.incarnation.value() << bits_per_process) + ++granted_leases_};
}

lease_service::granted_lease* lease_service::find_lease(lease_id lease,
                                                        const peer::envelope& message) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return nullptr;
    }
    auto& granted = found->second;
    if (granted.holder != message.sender || granted.incarnation != message.incarnation) {
        event_line{"lease_not_held"}
            .field("sender", message.sender)
            .field("borrower", granted.holder)
            .field("instance", granted.connection->instance())
            .write();
        return nullptr;
    }
    return &granted;
}

std::vector<lease_id> lease_service::active_lease_ids() const {
    std::vector<lease_id> result;
    for (const auto& [id, lease] : leases_) {
        result.push_back(id);
    }
    return result;
}

asio::awaitable<run_reply> lease_service::run_on_lease(const peer::envelope& message,
                                                       run_request call) {
    const auto number = call.lease;
    auto* const found = find_lease(number, message);
    run_reply result;
    if (found == nullptr || found->busy || call.steps.empty()) {
        result.failure = lease_failure::not_served;
        result.reason = "the lease has ended";
        event_line{"lease_call_refused"}
            .field("sender", message.sender)
            .field("lease", number)
            .field("known", found != nullptr)
            .write();
        co_return result;
    }
    auto& lease = *found;
    lease.busy = true;
    if (call.values) {
        lease.context.values = std::move(*call.values);
    }
    const auto deadline = steady_clock::now() + call.remaining;
    bool sent = false;
    try {
        const auto* needed = call.prepared ? &*call.prepared : nullptr;
        const auto refused =
            co_await lease.connection->apply_context(lease.context, needed, deadline);
        if (refused) {
            result.failure = lease_failure::broken;
            result.reason = to_string(refused->code);
        } else {
            sent = true;
            result.answers =
                co_await lease.connection->execute_all(std::move(call.steps), deadline);
        }
    } catch (const answer_mismatch_error& failure) {
        result.failure =
            sent && failure.may_have_run() ? lease_failure::mismatched : lease_failure::broken;
        result.reason = failure.what();
    } catch (const connection_error& failure) {
        result.failure = sent && failure.may_have_run() ? lease_failure::broken_may_have_run
                                                        : lease_failure::broken;
        result.reason = failure.what();
    }
    lease.busy = false;
    lease.last_used = steady_clock::now();
    if (result.failure != lease_failure::none) {
        leases_.erase(number);
    }
    co_return result;
}

void lease_service::tick(time_point now) {
    std::erase_if(leases_, [&](const auto& entry) {
        const auto& lease = entry.second;
        const auto known = incarnations_.find(lease.holder);
        const bool has_restarted =
            known != incarnations_.end() && known->second != lease.incarnation;
        const bool ends =
            !lease.busy && (has_restarted || now - lease.last_used > idle_lease_limit);
        if (ends) {
            event_line{"lease_expired"}
                .field("borrower", lease.holder)
                .field("instance", lease.connection->instance())
                .write();
        }
        return ends;
    });
}

}  // namespace masticgrade
