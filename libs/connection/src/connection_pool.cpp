#include "masticgrade/connection/connection_pool.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace {

std::string describe(queue_refusal refusal) {
    switch (refusal) {
        case queue_refusal::customer_full:
            return "too many statements of the customer are waiting";
        case queue_refusal::queue_full:
            return "too many statements are waiting";
        case queue_refusal::deadline_passed:
            return "the deadline has passed";
    }
    return "the statement cannot wait";
}

}  // namespace

connection_pool::connection_pool(pool_settings settings)
    : settings_(settings), queue_(settings.queue) {}

pool_actions connection_pool::acquire(waiter_number waiter, const customer_id& customer,
                                      time_point deadline, time_point now) {
    pool_actions actions;
    expire(now, actions);
    auto pushed = queue_.push(customer, waiter, deadline, now);
    if (const auto* refusal = std::get_if<queue_refusal>(&pushed)) {
        actions.push_back(refuse_waiter{waiter, describe(*refusal)});
        return actions;
    }
    const auto& evicted = std::get<fair_queue<waiter_number>::push_result>(pushed).evicted;
    if (evicted) {
        actions.push_back(refuse_waiter{*evicted, "others with fewer statements came first"});
    }
    assign_connections(now, actions);
    return actions;
}

pool_actions connection_pool::on_opened(connection_number connection, time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr && slot->state.opened());
    slot->idle_since = now;
    open_failures_ = 0;
    assign_connections(now, actions);
    close_excess(actions);
    return actions;
}

pool_actions connection_pool::on_open_failed(connection_number connection,
                                             const std::string& reason, time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr && slot->state.failed());
    std::erase_if(connections_, [&](const auto& entry) { return entry.number == connection; });
    constexpr unsigned max_doublings = 10;
    const auto doublings = std::min(open_failures_++, max_doublings);
    next_open_at_ =
        now + std::min(settings_.open_retry_delay * (1 << doublings), settings_.open_retry_limit);
    if (open() == 0) {
        // Without a connection, the waiters should try another instance or retry after a failover.
        refuse_waiters(reason, now, actions);
    }
    return actions;
}

pool_actions connection_pool::release(connection_number connection, bool reusable, time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr);
    const bool allowed = reusable ? slot->state.release() : slot->state.discard();
    slot->idle_since = now;
    MG_INVARIANT("connection released once", allowed,
                 fmt::format("connection={} reusable={}", connection, reusable));
    if (!reusable) {
        std::erase_if(connections_, [&](const auto& entry) { return entry.number == connection; });
    }
    assign_connections(now, actions);
    close_excess(actions);
    return actions;
}

pool_actions connection_pool::on_lost(connection_number connection, time_point now) {
    pool_actions actions;
    std::erase_if(connections_, [&](auto& entry) {
        return entry.number == connection && entry.state.phase() == connection_phase::idle;
    });
    assign_connections(now, actions);
    return actions;
}

pool_actions connection_pool::set_limits(std::size_t min_connections, std::size_t max_connections,
                                         time_point now) {
    pool_actions actions;
    settings_.min_connections = std::min(min_connections, max_connections);
    settings_.max_connections = max_connections;
    assign_connections(now, actions);
    close_excess(actions);
    return actions;
}

pool_actions connection_pool::refuse_all(const std::string& reason, time_point now) {
    pool_actions actions;
    refuse_waiters(reason, now, actions);
    std::erase_if(connections_, [&](auto& slot) {
        const bool closed = slot.state.close();
        if (closed) {
            actions.push_back(close_connection{slot.number});
        }
        return closed;
    });
    return actions;
}

pool_actions connection_pool::on_timer(time_point now) {
    pool_actions actions;
    expire(now, actions);
    assign_connections(now, actions);
    close_idle(now, actions);
    while (open() < settings_.min_connections && now >= next_open_at_) {
        open_new_connection(actions);
    }
    return actions;
}

std::optional<time_point> connection_pool::next_wakeup() const {
    if (queue_.empty()) {
        return std::nullopt;
    }
    const auto deadline = queue_.next_deadline();
    return open() < settings_.max_connections ? std::min(deadline, next_open_at_) : deadline;
}

std::size_t connection_pool::open() const noexcept { return connections_.size(); }

std::size_t connection_pool::busy() const noexcept { return count(connection_phase::busy); }

std::size_t connection_pool::count(connection_phase phase) const noexcept {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&](const auto& slot) { return slot.state.phase() == phase; }));
}

connection_pool::connection_slot* connection_pool::find(connection_number number) {
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& slot) { return slot.number == number; });
    return found == connections_.end() ? nullptr : &*found;
}

/// Removes and returns the next waiter. Refuses waiters whose deadline has passed.
std::optional<waiter_number> connection_pool::next_waiter(time_point now, pool_actions& actions) {
    auto popped = queue_.pop(now);
    for (const auto expired : popped.expired) {
        actions.push_back(refuse_waiter{expired, "no connection became free in time"});
    }
    return popped.next;
}

void connection_pool::refuse_waiters(const std::string& reason, time_point now,
                                     pool_actions& actions) {
    while (const auto waiter = next_waiter(now, actions)) {
        actions.push_back(refuse_waiter{*waiter, reason});
    }
}

void connection_pool::expire(time_point now, pool_actions& actions) {
    for (const auto expired : queue_.take_expired(now)) {
        actions.push_back(refuse_waiter{expired, "no connection became free in time"});
    }
}

/// Closes idle connections in excess of `max_connections`.
void connection_pool::close_excess(pool_actions& actions) {
    auto excess = connections_.size() - std::min(connections_.size(), settings_.max_connections);
    std::erase_if(connections_, [&](auto& slot) {
        if (excess == 0 || !slot.state.close()) {
            return false;
        }
        --excess;
        actions.push_back(close_connection{slot.number});
        return true;
    });
}

void connection_pool::assign_connections(time_point now, pool_actions& actions) {
    for (auto& slot : connections_) {
        if (slot.state.phase() != connection_phase::idle) {
            continue;
        }
        const auto waiter = next_waiter(now, actions);
        if (!waiter) {
            return;
        }
        slot.state.acquire();
        actions.push_back(grant_connection{*waiter, slot.number});
    }
    while (count(connection_phase::opening) < queue_.size() && open() < settings_.max_connections &&
           now >= next_open_at_) {
        open_new_connection(actions);
    }
}

void connection_pool::open_new_connection(pool_actions& actions) {
    last_number_ = last_number_.next();
    connections_.push_back({last_number_, {}});
    connections_.back().state.open();
    actions.push_back(open_connection{last_number_});
}

/// Closes connections that were opened under load and are not used any more, so that other hosts
/// can open theirs.
void connection_pool::close_idle(time_point now, pool_actions& actions) {
    auto excess = connections_.size() - std::min(connections_.size(), settings_.min_connections);
    std::erase_if(connections_, [&](auto& slot) {
        const bool is_unused = now - slot.idle_since >= settings_.idle_close_after;
        if (excess == 0 || !is_unused || !slot.state.close()) {
            return false;
        }
        --excess;
        actions.push_back(close_connection{slot.number});
        return true;
    });
}

}  // namespace masticgrade
