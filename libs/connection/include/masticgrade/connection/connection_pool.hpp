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

/// The connection belongs to the waiter until it is given back.
struct grant_connection {
    waiter_number waiter;
    connection_number connection;
};
/// Open the connection, then report `on_opened` or `on_open_failed`.
struct open_connection {
    connection_number connection;
};
/// Close the idle connection.
struct close_connection {
    connection_number connection;
};
/// The waiter gets no connection; nothing of its statement was sent.
struct refuse_waiter {
    waiter_number waiter;
    std::string reason;
};

using pool_action =
    std::variant<grant_connection, open_connection, close_connection, refuse_waiter>;
using pool_actions = std::vector<pool_action>;

struct pool_settings {
    /// Kept open even without load, so that no other host can take this host's part of the
    /// instance's limit.
    std::size_t min_connections = 1;
    /// Opened under load as long as the instance accepts them.
    std::size_t max_connections = 2;
    fair_queue_settings queue;
    /// An instance that refused a connection is not asked again for this long; the pause doubles
    /// with each failure up to the limit.
    milliseconds open_retry_delay{50};
    milliseconds open_retry_limit{1000};
    /// A connection above `min_connections` closes after this time without a statement, because
    /// other hosts may need it.
    milliseconds idle_close_after{200};
};

/// One host's connections to one instance, and the statements that wait for them.
/// Every call takes the current time and returns what is to be done.
/// Thread safety: none; the owner serialises calls.
class connection_pool {
public:
    explicit connection_pool(pool_settings settings);

    pool_actions acquire(waiter_number waiter, const customer_id& customer, time_point deadline,
                         time_point now);
    pool_actions on_opened(connection_number connection, time_point now);
    pool_actions on_open_failed(connection_number connection, const std::string& reason,
                                time_point now);
    /// Precondition: the connection was granted and not given back since. `reusable` is false when
    /// its last statement got no usable answer.
    pool_actions release(connection_number connection, bool reusable, time_point now);
    /// An idle connection was lost.
    pool_actions on_lost(connection_number connection, time_point now);
    /// The members or the instance's limit changed; excess connections close when they are idle.
    pool_actions set_limits(std::size_t kept, std::size_t limit, time_point now);
    /// Refuses every waiter and closes idle connections; used when the instance leaves.
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
    void drop_excess(pool_actions& actions);
    void close_unused(time_point now, pool_actions& actions);
    void open_one(pool_actions& actions);
    void serve(time_point now, pool_actions& actions);
    [[nodiscard]] std::size_t count(connection_phase phase) const noexcept;

    pool_settings settings_;
    std::vector<connection_slot> connections_;
    fair_queue<waiter_number> queue_;
    connection_number last_number_;
    time_point open_allowed_from_;
    unsigned open_failures_ = 0;
};

}  // namespace masticgrade
