#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/connection/backend_connection_state.hpp"
#include "masticgrade/request/fair_queue.hpp"

namespace masticgrade {

using waiter_number = strong_number<struct waiter_tag>;
using connection_number = strong_number<struct connection_tag>;

/// Action: assign the connection to the waiter until it is released.
struct grant_connection {
    waiter_number waiter;
    connection_number connection;
};
/// Action: open the connection, then call `on_opened` or `on_open_failed`.
struct open_connection {
    connection_number connection;
};
/// Action: close the idle connection.
struct close_connection {
    connection_number connection;
};
/// Action: refuse the waiter; no part of its statement was sent.
struct refuse_waiter {
    waiter_number waiter;
    std::string reason;
};

using pool_action =
    std::variant<grant_connection, open_connection, close_connection, refuse_waiter>;
using pool_actions = std::vector<pool_action>;

struct pool_settings {
    /// Connections kept open without load, so that other hosts cannot use up this host's share of
    /// the instance's connection limit.
    std::size_t min_connections = 1;
    /// The maximum under load, as long as the instance accepts more connections.
    std::size_t max_connections = 2;
    fair_queue_settings queue;
    /// The delay before the next attempt after a connection failed to open. It doubles with each
    /// failure up to `open_retry_limit`.
    milliseconds open_retry_delay{50};
    milliseconds open_retry_limit{1000};
    /// A connection in excess of `min_connections` closes after this time without a statement,
    /// because other hosts may need it.
    milliseconds idle_close_after{200};
};

/// One host's connections to one instance and the queue of statements that wait for them.
/// Each call takes the current time and returns the actions that the owner has to perform.
/// Thread safety: none; the owner serialises calls.
class connection_pool {
public:
    explicit connection_pool(pool_settings settings);

    pool_actions acquire(waiter_number waiter, const customer_id& customer, time_point deadline,
                         time_point now);
    pool_actions on_opened(connection_number connection, time_point now);
    pool_actions on_open_failed(connection_number connection, const std::string& reason,
                                time_point now);
    /// `reusable` is false when the last statement got no usable answer. Precondition: the
    /// connection was granted and has not been released since.
    pool_actions release(connection_number connection, bool reusable, time_point now);
    /// Reports the loss of an idle connection.
    pool_actions on_lost(connection_number connection, time_point now);
    /// Applies new limits after a change of the members or of the instance's limit. Excess
    /// connections close when they become idle.
    pool_actions set_limits(std::size_t min_connections, std::size_t max_connections,
                            time_point now);
    /// Refuses all waiters and closes idle connections, when the instance leaves.
    pool_actions refuse_all(const std::string& reason, time_point now);
    pool_actions on_timer(time_point now);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] std::size_t open() const noexcept;
    [[nodiscard]] std::size_t busy() const noexcept;

private:
    struct connection_slot {
        connection_number number;
        backend_connection_state state;
        time_point idle_since = {};
    };
    connection_slot* find(connection_number number);
    std::optional<waiter_number> next_waiter(time_point now, pool_actions& actions);
    void refuse_waiters(const std::string& reason, time_point now, pool_actions& actions);
    void expire(time_point now, pool_actions& actions);
    void close_excess(pool_actions& actions);
    void close_idle(time_point now, pool_actions& actions);
    void open_new_connection(pool_actions& actions);
    void assign_connections(time_point now, pool_actions& actions);
    [[nodiscard]] std::size_t count(connection_phase phase) const noexcept;

    pool_settings settings_;
    std::vector<connection_slot> connections_;
    fair_queue<waiter_number> queue_;
    connection_number last_number_;
    time_point next_open_at_;
    unsigned open_failures_ = 0;
};

}  // namespace masticgrade
