#include "masticgrade/connection/connection_pool.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

connection_pool::connection_pool(pool_settings settings) : settings_(settings) {}

pool_actions connection_pool::acquire(waiter_number waiter, const customer_id& customer,
                                      time_point deadline, time_point now) {
    pool_actions actions;
    expire(now, actions);
    if (deadline <= now) {
        actions.push_back(refuse_waiter{waiter, "the deadline has passed"});
        return actions;
    }
    auto& queue = queue_for(customer);
    if (queued_ >= settings_.max_waiting ||
        queue.entries.size() >= settings_.max_waiting_per_customer) {
        actions.push_back(refuse_waiter{waiter, "too many statements are waiting"});
        return actions;
    }
    queue.entries.push_back({waiter, deadline});
    ++queued_;
    serve(now, actions);
    return actions;
}

pool_actions connection_pool::on_opened(connection_number connection, time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr && slot->state.opened());
    serve(now, actions);
    drop_excess(actions);
    return actions;
}

pool_actions connection_pool::on_open_failed(connection_number connection,
                                             const std::string& reason, time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr && slot->state.failed());
    std::erase_if(connections_, [&](const auto& entry) { return entry.number == connection; });
    open_allowed_from_ = now + settings_.open_retry_delay;
    if (open() == 0) {
        // Without any connection the waiters may do better at another instance or after a failover.
        while (const auto waiter = next_waiter()) {
            actions.push_back(refuse_waiter{*waiter, reason});
        }
    }
    return actions;
}

pool_actions connection_pool::give_back(connection_number connection, bool reusable,
                                        time_point now) {
    pool_actions actions;
    auto* slot = find(connection);
    MG_PRECONDITION(slot != nullptr);
    const bool allowed = reusable ? slot->state.give_back() : slot->state.discard();
    MG_INVARIANT("connection returned once", allowed,
                 fmt::format("connection={} reusable={}", connection, reusable));
    if (!reusable) {
        std::erase_if(connections_, [&](const auto& entry) { return entry.number == connection; });
    }
    serve(now, actions);
    drop_excess(actions);
    return actions;
}

pool_actions connection_pool::on_lost(connection_number connection, time_point now) {
    pool_actions actions;
    std::erase_if(connections_, [&](auto& entry) {
        return entry.number == connection && entry.state.phase() == connection_phase::idle;
    });
    serve(now, actions);
    return actions;
}

pool_actions connection_pool::set_max_connections(std::size_t limit, time_point now) {
    pool_actions actions;
    settings_.max_connections = limit;
    serve(now, actions);
    drop_excess(actions);
    return actions;
}

pool_actions connection_pool::refuse_all(const std::string& reason) {
    pool_actions actions;
    while (const auto waiter = next_waiter()) {
        actions.push_back(refuse_waiter{*waiter, reason});
    }
    std::erase_if(connections_, [&](auto& slot) {
        const bool closed = slot.state.close();
        if (closed) {
            actions.push_back(close_connection{slot.number});
        }
        return closed;
    });
    return actions;
}

pool_actions connection_pool::on_time(time_point now) {
    pool_actions actions;
    expire(now, actions);
    serve(now, actions);
    return actions;
}

std::optional<time_point> connection_pool::next_wakeup() const {
    std::optional<time_point> earliest;
    for (const auto& queue : queues_) {
        for (const auto& entry : queue.entries) {
            earliest = std::min(earliest.value_or(entry.deadline), entry.deadline);
        }
    }
    if (earliest && open() < settings_.max_connections) {
        earliest = std::min(*earliest, open_allowed_from_);
    }
    return earliest;
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

connection_pool::customer_queue& connection_pool::queue_for(const customer_id& customer) {
    const auto found = std::find_if(queues_.begin(), queues_.end(),
                                    [&](const auto& queue) { return queue.customer == customer; });
    if (found != queues_.end()) {
        return *found;
    }
    queues_.push_back({customer, {}});
    return queues_.back();
}

/// Takes the first waiter of the customer whose turn it is and moves that customer to the end.
std::optional<waiter_number> connection_pool::next_waiter() {
    while (!queues_.empty()) {
        auto queue = std::move(queues_.front());
        queues_.pop_front();
        if (queue.entries.empty()) {
            continue;
        }
        const auto waiter = queue.entries.front().number;
        queue.entries.pop_front();
        --queued_;
        if (!queue.entries.empty()) {
            queues_.push_back(std::move(queue));
        }
        return waiter;
    }
    return std::nullopt;
}

void connection_pool::expire(time_point now, pool_actions& actions) {
    for (auto& queue : queues_) {
        queued_ -= std::erase_if(queue.entries, [&](const waiter_entry& entry) {
            if (entry.deadline > now) {
                return false;
            }
            actions.push_back(refuse_waiter{entry.number, "no connection became free in time"});
            return true;
        });
    }
}

/// Closes idle connections that are more than the limit allows.
void connection_pool::drop_excess(pool_actions& actions) {
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

void connection_pool::serve(time_point now, pool_actions& actions) {
    for (auto& slot : connections_) {
        if (queued_ == 0) {
            return;
        }
        if (slot.state.phase() != connection_phase::idle) {
            continue;
        }
        const auto waiter = next_waiter();
        if (waiter && slot.state.lend()) {
            actions.push_back(grant_connection{*waiter, slot.number});
        }
    }
    while (count(connection_phase::opening) < queued_ && open() < settings_.max_connections &&
           now >= open_allowed_from_) {
        last_number_ = last_number_.next();
        connections_.push_back({last_number_, {}});
        connections_.back().state.open();
        actions.push_back(open_connection{last_number_});
    }
}

}  // namespace masticgrade
