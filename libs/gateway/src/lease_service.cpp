#include "lease_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// For the way there and back, beside the time that the home may take.
constexpr milliseconds transit_time{60};
/// How long a host that did not answer is not asked for connections.
constexpr milliseconds unusable_time{700};
/// A borrower ends idle transactions after 3 s; a lease that is idle for longer has lost its
/// borrower.
constexpr seconds idle_lease_limit{6};

milliseconds until(time_point moment) {
    return std::chrono::duration_cast<milliseconds>(moment - steady_clock::now());
}

/// A home answers with a proof of at most this age; routes allow a second and more.
constexpr milliseconds recent_position_age{150};

/// A connection that `home` lends.
class borrowed_connection final : public remote_connection {
public:
    borrowed_connection(std::shared_ptr<lease_service> service, host_id home, lease_number lease,
                        std::string instance)
        : service_(std::move(service)),
          home_(std::move(home)),
          lease_(lease),
          instance_(std::move(instance)) {}
    borrowed_connection(const borrowed_connection&) = delete;
    borrowed_connection& operator=(const borrowed_connection&) = delete;
    ~borrowed_connection() override { close(); }

    void set_context(const session_context& session, const prepared_shape* needed) override {
        if (!sent_values_ || *sent_values_ != session.values) {
            pending_values_ = session.values;
        }
        shape_ = needed == nullptr ? std::nullopt : std::optional{*needed};
    }

    asio::awaitable<std::vector<statement_answer>> run(std::vector<backend_request> requests,
                                                       time_point deadline) override {
        const auto count = requests.size();
        run_steps call;
        call.lease = lease_;
        call.values = pending_values_;
        call.shape = shape_;
        call.steps = std::move(requests);
        auto result = co_await service_->run(home_, std::move(call), deadline);
        if (result.failure != lease_failure::none || result.answers.size() != count) {
            open_ = false;
            throw link_error("borrowed connection", instance_, result.reason,
                             result.failure == lease_failure::none ||
                                 result.failure == lease_failure::broken_may_have_run);
        }
        if (pending_values_) {
            sent_values_ = std::move(pending_values_);
            pending_values_.reset();
        }
        shape_.reset();
        co_return std::move(result.answers);
    }

    [[nodiscard]] bool is_open() const override { return open_ && !closed_; }

    void close() override {
        if (!closed_) {
            closed_ = true;
            service_->close(home_, lease_);
        }
    }

private:
    std::shared_ptr<lease_service> service_;
    host_id home_;
    lease_number lease_;
    std::string instance_;
    std::optional<std::map<std::string, std::string>> sent_values_;
    std::optional<std::map<std::string, std::string>> pending_values_;
    std::optional<prepared_shape> shape_;
    bool open_ = true;
    bool closed_ = false;
};

}  // namespace

lease_service::lease_service(lease_environment environment)
    : environment_(std::move(environment)) {}

peer::service_message lease_service::pack(lease_call call) const {
    lease_message message;
    message.sender_uptime = environment_.uptime();
    message.call = std::move(call);
    return {encode_lease_message(message)};
}

bool lease_service::is_unusable(const host_id& home) const {
    const auto found = unusable_until_.find(home);
    return found != unusable_until_.end() && steady_clock::now() < found->second;
}

asio::awaitable<lease_call> lease_service::call(const host_id& home, lease_call request,
                                                time_point deadline) {
    const auto address = environment_.address_of(home);
    if (!address) {
        throw error("call host", home.str(), "its address is unknown");
    }
    peer::message_body body = pack(std::move(request));
    const auto reply = co_await environment_.peers.request(*address, std::move(body), deadline);
    const auto* payload = std::get_if<peer::service_message>(&reply.body);
    if (payload == nullptr) {
        throw error("call host", home.str(), "the reply is of another kind");
    }
    auto message = decode_lease_message(payload->payload);
    co_return std::move(message.call);
}

asio::awaitable<remote_acquire_result> lease_service::borrow(host_id home, instance_id instance,
                                                             group_id group,
                                                             acquire_request request) {
    const auto self = shared_from_this();
    open_lease wanted;
    wanted.group = std::move(group);
    wanted.instance = instance;
    wanted.customer = request.queue_entry.customer;
    wanted.needs_primary = request.queue_entry.needs_primary;
    wanted.at_least = request.at_least;
    wanted.give_up = until(request.queue_entry.deadline);
    wanted.start_by = until(request.queue_entry.latest_start);
    wanted.priority = request.queue_entry.priority;
    remote_acquire_result result;
    try {
        lease_call message = std::move(wanted);
        const auto reply =
            co_await call(home, std::move(message), request.queue_entry.deadline + transit_time);
        const auto* opened = std::get_if<lease_opened>(&reply);
        const auto failure = opened == nullptr ? lease_failure::not_served : opened->failure;
        if (failure == lease_failure::none) {
            result.connection =
                std::make_shared<borrowed_connection>(self, home, opened->lease, instance.str());
            co_return result;
        }
        if (failure == lease_failure::overloaded || failure == lease_failure::timed_out) {
            result.failure = failure == lease_failure::overloaded ? acquire_failure::overloaded
                                                                  : acquire_failure::timed_out;
            co_return result;
        }
        event_line{"lease_refused"}
            .field("home", home)
            .field("instance", instance)
            .field("late", failure == lease_failure::late)
            .write();
    } catch (const error& failure) {
        event_line{"lease_failed"}
            .field("home", home)
            .field("instance", instance)
            .field("reason", failure.what())
            .write();
    }
    unusable_until_[home] = steady_clock::now() + unusable_time;
    co_return result;
}

asio::awaitable<steps_run> lease_service::run(const host_id& home, run_steps steps,
                                              time_point deadline) {
    const auto self = shared_from_this();
    steps.remaining = until(deadline);
    steps_run result;
    try {
        lease_call message = std::move(steps);
        auto reply = co_await call(home, std::move(message), deadline + transit_time);
        if (auto* done = std::get_if<steps_run>(&reply)) {
            co_return std::move(*done);
        }
        result.reason = "the reply is of another kind";
    } catch (const error& failure) {
        result.reason = failure.what();
        unusable_until_[home] = steady_clock::now() + unusable_time;
    }
    result.failure = lease_failure::broken_may_have_run;
    co_return result;
}

void lease_service::close(const host_id& home, lease_number lease) {
    if (const auto address = environment_.address_of(home)) {
        environment_.peers.send(*address, pack(close_lease{lease}),
                                steady_clock::now() + idle_lease_limit);
    }
}

asio::awaitable<void> lease_service::learn_delay(host_id sender, incarnation_number incarnation) {
    const auto self = shared_from_this();
    const scope_guard ended{[&] { learning_.erase(sender); }};
    const auto address = environment_.address_of(sender);
    if (!address) {
        co_return;
    }
    const auto asked_at = boot_clock::now();
    peer::message_body question = pack(ping{});
    try {
        const auto reply = co_await environment_.peers.request(
            *address, std::move(question),
            steady_clock::now() + message_delays::longest_round_trip);
        const auto* payload = std::get_if<peer::service_message>(&reply.body);
        if (payload != nullptr && reply.incarnation == incarnation) {
            const auto message = decode_lease_message(payload->payload);
            delays_.learn(sender, incarnation, message.sender_uptime, asked_at, boot_clock::now());
        }
    } catch (const error& failure) {
        event_line{"ping_failed"}.field("peer", sender).field("reason", failure.what()).write();
    }
}

void lease_service::on_report(const host_id& sender, incarnation_number incarnation) {
    if (!delays_.is_known(sender, incarnation) && learning_.emplace(sender, incarnation).second) {
        asio::co_spawn(environment_.executor, learn_delay(sender, incarnation), asio::detached);
    }
    std::erase_if(leases_, [&](const auto& entry) {
        const auto& lent = entry.second;
        return lent.borrower == sender && lent.incarnation != incarnation && !lent.busy;
    });
}

asio::awaitable<std::optional<peer::message_body>> lease_service::on_message(
    peer::envelope message) {
    const auto self = shared_from_this();
    const auto& payload = std::get<peer::service_message>(message.body);
    auto request = decode_lease_message(payload.payload);
    if (std::holds_alternative<ping>(request.call)) {
        co_return peer::message_body{pack(pong{})};
    }
    if (const auto* closing = std::get_if<close_lease>(&request.call)) {
        const auto found = leases_.find(closing->lease);
        if (found != leases_.end() && !found->second.busy) {
            leases_.erase(found);
        }
        co_return std::nullopt;
    }
    const bool late = delays_.is_late(message.sender, message.incarnation, request.sender_uptime,
                                      boot_clock::now());
    lease_call reply;
    if (auto* opening = std::get_if<open_lease>(&request.call)) {
        if (late) {
            reply = lease_opened{{}, lease_failure::late};
        } else {
            reply = co_await lend(message, std::move(*opening));
        }
    } else if (auto* steps = std::get_if<run_steps>(&request.call)) {
        if (late) {
            reply = steps_run{lease_failure::late, "the request was under way for too long", {}};
        } else {
            reply = co_await run_lent(std::move(*steps));
        }
    } else if (auto* question = std::get_if<ask_position>(&request.call)) {
        reply = co_await tell_position(std::move(*question));
    } else if (const auto* rows = std::get_if<ask_rows>(&request.call)) {
        reply = environment_.tell_rows(*rows);
    } else {
        co_return std::nullopt;
    }
    co_return peer::message_body{pack(std::move(reply))};
}

asio::awaitable<lease_opened> lease_service::lend(const peer::envelope& message, open_lease call) {
    if (!environment_.accepts()) {
        co_return lease_opened{{}, lease_failure::not_served};
    }
    const auto now = steady_clock::now();
    acquire_request request;
    request.queue_entry.customer = call.customer;
    request.queue_entry.needs_primary = call.needs_primary;
    request.queue_entry.deadline = now + call.give_up;
    request.queue_entry.latest_start = now + call.start_by;
    request.queue_entry.priority = call.priority;
    request.at_least = call.at_least;
    request.queue_entry.instance = call.instance;
    request.leased_instance = call.instance;
    const auto group = environment_.find_group(call.group);
    if (!group->is_listed(call.instance)) {
        co_return lease_opened{{}, lease_failure::not_served};
    }
    auto result = co_await group->acquire(std::move(request));
    if (auto* connection = std::get_if<connection_lease>(&result)) {
        const lease_number number{++last_lease_};
        auto& lent = leases_[number];
        lent.borrower = message.sender;
        lent.incarnation = message.incarnation;
        lent.connection.emplace(std::move(*connection));
        lent.last_used = steady_clock::now();
        co_return lease_opened{number, lease_failure::none};
    }
    const bool overloaded = std::get<acquire_failure>(result) == acquire_failure::overloaded;
    co_return lease_opened{{}, overloaded ? lease_failure::overloaded : lease_failure::timed_out};
}

asio::awaitable<position_told> lease_service::tell_position(ask_position call) {
    const auto group = environment_.find_group(call.group);
    if (!environment_.accepts() || !group->owns_primary_pool()) {
        // Another question from here could come back to the host that asks.
        co_return position_told{};
    }
    const auto moment = boot_clock::now() - recent_position_age;
    const auto position =
        co_await group->position_at(moment, call.customer, steady_clock::now() + call.remaining);
    position_told result;
    const auto primary = group->primary();
    if (position && primary) {
        result.instance = *primary;
        result.position = position;
        result.age = std::chrono::ceil<milliseconds>(boot_clock::now() - moment);
    }
    co_return result;
}

asio::awaitable<std::optional<position_proof>> lease_service::request_position(
    host_id home, group_id group, customer_id customer, time_point deadline) {
    const auto self = shared_from_this();
    const auto asked_at = boot_clock::now();
    lease_call question = ask_position{std::move(group), std::move(customer), until(deadline)};
    try {
        const auto reply = co_await call(home, std::move(question), deadline + transit_time);
        const auto* told = std::get_if<position_told>(&reply);
        if (told != nullptr && told->position) {
            co_return position_proof{told->instance, asked_at - told->age, *told->position};
        }
    } catch (const error& failure) {
        event_line{"position_not_told"}.field("home", home).field("reason", failure.what()).write();
        unusable_until_[home] = steady_clock::now() + unusable_time;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<rows_told>> lease_service::ask_for_rows(host_id host,
                                                                      ask_rows question,
                                                                      time_point deadline) {
    const auto self = shared_from_this();
    lease_call message = std::move(question);
    try {
        auto reply = co_await call(host, std::move(message), deadline);
        if (auto* told = std::get_if<rows_told>(&reply)) {
            co_return std::move(*told);
        }
    } catch (const error& failure) {
        event_line{"rows_not_told"}.field("peer", host).field("reason", failure.what()).write();
    }
    co_return std::nullopt;
}

asio::awaitable<steps_run> lease_service::run_lent(run_steps call) {
    const auto number = call.lease;
    const auto found = leases_.find(number);
    steps_run result;
    if (found == leases_.end() || found->second.busy || call.steps.empty()) {
        result.failure = lease_failure::not_served;
        result.reason = "the lease has ended";
        co_return result;
    }
    auto& lent = found->second;
    lent.busy = true;
    if (call.values) {
        lent.context.values = std::move(*call.values);
    }
    const auto deadline = steady_clock::now() + call.remaining;
    bool sent = false;
    try {
        const auto* needed = call.shape ? &*call.shape : nullptr;
        const auto refused = co_await lent.connection->align(lent.context, needed, deadline);
        if (refused) {
            result.failure = lease_failure::broken;
            result.reason = to_string(refused->code);
        } else {
            sent = true;
            result.answers = co_await lent.connection->execute_all(std::move(call.steps), deadline);
        }
    } catch (const link_error& failure) {
        result.failure = sent && failure.may_have_run() ? lease_failure::broken_may_have_run
                                                        : lease_failure::broken;
        result.reason = failure.what();
    }
    lent.busy = false;
    lent.last_used = steady_clock::now();
    if (result.failure != lease_failure::none) {
        leases_.erase(number);
    }
    co_return result;
}

void lease_service::tick(time_point now) {
    std::erase_if(leases_, [&](const auto& entry) {
        const auto& lent = entry.second;
        const bool ends = !lent.busy && now - lent.last_used > idle_lease_limit;
        if (ends) {
            event_line{"lease_expired"}
                .field("borrower", lent.borrower)
                .field("instance", lent.connection->instance())
                .write();
        }
        return ends;
    });
}

}  // namespace masticgrade
