#include "database_server.hpp"

#include <algorithm>

#include "database_session.hpp"

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* replicate_target = "/v1/replicate";

const char* name_of(instance_role role) {
    switch (role) {
        case instance_role::primary:
            return "primary";
        case instance_role::replica:
            return "replica";
        case instance_role::sealed:
            break;
    }
    return "sealed";
}

}  // namespace

database_server::database_server(asio::io_context& io, database_settings settings)
    : settings_(std::move(settings)),
      instance_(settings_.initial_role, settings_.initial_term, settings_.primary),
      slots_(settings_.slots),
      server_(io, settings_.listen,
              {.setup_delay = settings_.setup_delay, .instance_target = replicate_target}, faults_,
              [this] { return std::make_unique<session>(*this); }),
      control_(io, settings_.control, faults_,
               {.changed = [this](const json::object& request) { control_changed(request); },
                .log = [this]() -> json::value { return instance_.dump(); }}) {
    faults_.receive_delay = settings_.receive_delay;
    faults_.apply_lag = settings_.apply_lag;
    start_coroutines(io);
}

bool database_server::may_replicate() const { return !faults_.isolated && !faults_.down; }

void database_server::advance() {
    const auto before = std::pair(instance_.received_position(), instance_.applied_position());
    instance_.advance(steady_clock::now(), faults_.apply_lag);
    if (before != std::pair(instance_.received_position(), instance_.applied_position())) {
        changed_.notify_all();
    }
}

asio::awaitable<void> database_server::advance_when_due() {
    constexpr auto longest_wait = std::chrono::seconds(1);
    for (;;) {
        const auto latest = steady_clock::now() + longest_wait;
        const auto due = instance_.next_due(faults_.apply_lag).value_or(latest);
        co_await changed_.wait_until(std::min(due, latest));
        advance();
    }
}

json::object database_server::state() const {
    // An age that is not known is reported as older than any bound.
    constexpr auto unknown = milliseconds{std::numeric_limits<std::uint32_t>::max()};
    const auto staleness = instance_.staleness(steady_clock::now()).value_or(unknown);
    return {{"instance", settings_.instance},
            {"role", name_of(instance_.role())},
            {"last_term", instance_.last_term()},
            {"start_position", instance_.start_position()},
            {"staleness_ms", staleness.count()},
            {"primary", instance_.primary_address()},
            {"leaving", faults_.leaving},
            {"connections", connections_},
            {"peak_connections", peak_connections_},
            {"statements", statements_}};
}

void database_server::control_changed(const json::object& request) {
    if (request.at("fault").as_string() == "silent" && request.at("on").as_bool()) {
        const auto* take_effect = request.if_contains("value");
        server_.silence_connections(take_effect != nullptr && *take_effect != json::value(0));
    }
    server_.faults_changed();
    changed_.notify_all();
}

}  // namespace masticgrade::standins
