#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

#include "backend_group.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// How long a statement may wait for the operators' warm-up limit. The caller's key is checked
/// before the wait and has to be in force when the statement is sent.
constexpr milliseconds max_warmup_wait{200};

}  // namespace

bool backend_group::is_new_start(const instance_entry& entry) const {
    // Entries also disappear and return while the store is not available.
    const auto lost = lost_instances_.find(entry.id);
    return lost == lost_instances_.end() || lost->second.start_time != entry.start_time;
}

void backend_group::pace_entry(instance_state& instance, const instance_entry& entry,
                               bool new_start, time_point now) {
    const bool added = instance.entry.id.empty();
    if (instance.entry != entry) {
        instance.warmup_until = now + entry.warmup_remaining;
    }
    if (settings_.warmup_rate <= 0 || now >= instance.warmup_until) {
        instance.warmup.reset();
    } else {
        if (!instance.warmup) {
            instance.warmup = warmup_state{};
            if (added && !new_start) {
                instance.warmup->limiter.close_until(now + warmup_limiter::window);
            }
        }
        update_warmup_share(instance, entry, now);
    }
    if (new_start || (added && entry.warmup_remaining.count() > 0)) {
        // The new entry is not stored yet, and log lines name the instance.
        instance.entry = entry;
        start_pace(instance, new_start ? "started" : "warming_up", now);
    }
}

void backend_group::start_pace(instance_state& instance, std::string_view cause, time_point now) {
    if (!environment_.paces_instances) {
        return;
    }
    const bool was_limiting = instance.pace.is_limiting(now);
    instance.pace.start(now);
    if (!was_limiting) {
        log_pace_start(instance, cause);
    }
}

void backend_group::pace_answer(instance_state& instance, const statement_answer& answer,
                                duration elapsed, time_point now) {
    if (!environment_.paces_instances) {
        return;
    }
    if (answer.code == answer_code::busy || answer.code == answer_code::timeout) {
        instance.pace.on_refusal(now - elapsed, now);
        return;
    }
    if (answer.code != answer_code::done || answer.text == "-") {
        instance.pace.on_other_answer();
        return;
    }
    instance_pace::answer observed;
    observed.elapsed = elapsed;
    if (instance.pace.is_limiting(now)) {
        observed.usual = usual_time(instance.entry.id, now);
        observed.full = max_in_flight(instance);
        observed.in_flight = instance.outstanding - instance.idle_in_transaction;
    }
    if (instance.pace.on_answer(observed, now)) {
        if (!instance.pace.is_limiting(now)) {
            log_pace_end(instance, "full");
        }
        dispatch_waiting();
    }
}

void backend_group::on_connection_lost(const pooled_connection& connection, time_point sent_at) {
    auto* state = find_state(connection.instance, connection.generation);
    // Connections to the process before a restart say nothing about the new one.
    if (state != nullptr && connection.opened_at >= state->restarted_at) {
        pace_failure(*state, instance_pace::failure::no_answer, sent_at, steady_clock::now());
    }
}

void backend_group::pace_failure(instance_state& instance, instance_pace::failure kind,
                                 time_point sent_at, time_point now) {
    if (!environment_.paces_instances) {
        return;
    }
    const bool was_limiting = instance.pace.is_limiting(now);
    if (instance.pace.on_failure(kind, sent_at, now) && !was_limiting) {
        log_pace_start(instance, "unreachable");
    }
}

void backend_group::pace_tick(instance_state& instance, time_point now) {
    if (instance.pace.has_expired(now)) {
        instance.pace.reset();
        log_pace_end(instance, "time_limit");
    }
    if (instance.warmup && now >= instance.warmup_until) {
        instance.warmup.reset();
    }
    if (instance.warmup) {
        update_warmup_share(instance, instance.entry, now);
    }
}

std::size_t backend_group::paced_instances(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& entry) { return entry.second.pace.is_limiting(now); }));
}

std::optional<duration> backend_group::usual_time(const instance_id& except, time_point now) const {
    std::optional<duration> result;
    for (const auto& [id, instance] : instances_) {
        if (id == except || instance.service_time.count() == 0 || instance.pace.is_limiting(now)) {
            continue;
        }
        result = std::min<duration>(result.value_or(duration::max()), instance.service_time);
    }
    return result;
}

void backend_group::log_pace_start(const instance_state& instance, std::string_view cause) const {
    // The limit acts only on the host that sends the statements.
    if (!environment_.pool_owner_of(instance.entry).host.empty()) {
        return;
    }
    environment_.metrics.count("masticgrade_instance_pace_starts_total",
                               "Times that the concurrent statements on an instance were limited.",
                               std::string{cause});
    event_line{"pace_started"}
        .field("group", name_)
        .field("instance", instance.entry.id)
        .field("cause", cause)
        .write();
}

void backend_group::log_pace_end(const instance_state& instance, std::string_view reason) const {
    if (!environment_.pool_owner_of(instance.entry).host.empty()) {
        return;
    }
    environment_.metrics.count("masticgrade_instance_pace_ends_total",
                               "Times that the limit of an instance's statements ended.",
                               std::string{reason});
    event_line{"pace_ended"}
        .field("group", name_)
        .field("instance", instance.entry.id)
        .field("reason", reason)
        .write();
}

void backend_group::update_warmup_share(instance_state& instance, const instance_entry& entry,
                                        time_point now) {
    auto& warmup = *instance.warmup;
    const auto owner = environment_.pool_owner_of(entry);
    const auto last_sender = warmup.last_sender;
    if (!owner.host.empty()) {
        warmup.last_sender = sender::other_host;
    } else {
        warmup.last_sender = owner.is_self ? sender::this_host : sender::every_host;
    }
    const bool changed = last_sender != sender::unknown && last_sender != warmup.last_sender;
    if (warmup.last_sender == sender::other_host ||
        (changed &&
         (last_sender == sender::other_host || warmup.last_sender == sender::this_host))) {
        // The other hosts may have used the rate within the last window.
        warmup.limiter.close_until(now + warmup_limiter::window);
    }
    double share = settings_.warmup_rate;
    if (warmup.last_sender != sender::this_host) {
        // Fractions of a statement per second cannot be divided among hosts without messages, so
        // the hosts that rank first get what is left over.
        const auto hosts = std::max<std::size_t>(1, environment_.live_host_count());
        const auto rank = environment_.host_rank(entry.id);
        const auto whole = static_cast<std::size_t>(settings_.warmup_rate);
        if (hosts > 1 && whole == 0) {
            share = rank == 0 ? settings_.warmup_rate : 0;
        } else if (hosts > 1) {
            const std::size_t statements = whole / hosts + (rank < whole % hosts ? 1 : 0);
            share = static_cast<double>(statements);
        }
    }
    if (warmup.share && share > *warmup.share) {
        // Other hosts may not know yet that their share has fallen.
        if (!warmup.share_grows_at) {
            warmup.share_grows_at = now + warmup_limiter::window;
        }
        if (now < *warmup.share_grows_at) {
            return;
        }
    }
    warmup.share_grows_at.reset();
    warmup.share = share;
    warmup.limiter.configure(share);
}

bool backend_group::warmup_admits(instance_state& instance, const instance_pool_owner& owner,
                                  time_point now) {
    // The limit of another host's pool is applied there.
    if (!instance.warmup || now >= instance.warmup_until || !owner.host.empty()) {
        return true;
    }
    update_warmup_share(instance, instance.entry, now);
    // Each operation, also one whose transaction is idle, may have to send another statement.
    return instance.warmup->limiter.available(now) > instance.outstanding;
}

bool backend_group::is_warming_up(const instance_id& instance) const {
    const auto found = instances_.find(instance);
    return found != instances_.end() && found->second.warmup;
}

asio::awaitable<void> backend_group::await_warmup(instance_id instance, std::size_t statements,
                                                  time_point deadline) {
    const auto self = shared_from_this();
    const auto latest = std::min(deadline, steady_clock::now() + max_warmup_wait);
    const auto limit = [&]() -> warmup_state* {
        const auto found = instances_.find(instance);
        return found == instances_.end() || !found->second.warmup ? nullptr
                                                                  : &*found->second.warmup;
    };
    std::uint64_t ticket = 0;
    const scope_guard leave_queue{[&] {
        if (auto* warmup = limit()) {
            std::erase(warmup->waiting, ticket);
        }
    }};
    for (;;) {
        const auto now = steady_clock::now();
        auto* warmup = limit();
        if (warmup == nullptr || statements == 0) {
            co_return;
        }
        if (std::find(warmup->waiting.begin(), warmup->waiting.end(), ticket) ==
            warmup->waiting.end()) {
            ticket = ++last_warmup_ticket_;
            warmup->waiting.push_back(ticket);
        }
        if (warmup->waiting.front() == ticket && warmup->limiter.take(statements, now)) {
            co_return;
        }
        const auto ready = std::max(warmup->limiter.ready_at(now), now + milliseconds{1});
        if (ready >= latest) {
            environment_.metrics.count("masticgrade_warmup_refusals_total",
                                       "Statements not sent because of the warm-up limit.");
            throw warmup_limit_error(instance.str());
        }
        asio::steady_timer pause{environment_.executor, ready};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

}  // namespace masticgrade
