#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "control_channel.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/connection/connection_pool.hpp"
#include "masticgrade/net/async_result.hpp"
#include "masticgrade/net/database_client.hpp"
#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

class instance_link;

/// Exclusive use of a pooled connection by one statement or transaction.
/// When the lease ends, a connection whose last call got no answer is closed, not reused.
/// Thread safety: none; one coroutine uses it at a time.
class connection_lease {
public:
    connection_lease(std::shared_ptr<instance_link> link, connection_number number,
                     std::shared_ptr<database_connection> connection) noexcept;
    connection_lease(connection_lease&& other) noexcept;
    connection_lease& operator=(connection_lease&& other) noexcept;
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    ~connection_lease();

    /// Throws request_error, after which the connection is unusable.
    boost::asio::awaitable<database_reply> call(database_request request, time_point deadline);
    [[nodiscard]] connection_number number() const noexcept { return number_; }
    /// Closes the connection when the lease ends, for example because a transaction is open.
    void discard() noexcept { reusable_ = false; }
    /// Allows reuse of the connection, because no transaction is open on it any more.
    void mark_reusable() noexcept { reusable_ = true; }
    /// Counts the lease against the transaction limit of its link until the lease ends.
    void hold_transaction() noexcept { holds_transaction_ = true; }

private:
    void release() noexcept;

    std::shared_ptr<instance_link> link_;
    connection_number number_;
    std::shared_ptr<database_connection> connection_;
    bool reusable_ = true;
    bool holds_transaction_ = false;
};

struct acquire_refused {
    std::string reason;
};
using acquire_result = std::variant<connection_lease, acquire_refused>;

/// Bounds on one host's open connections to an instance.
struct connection_limits {
    std::size_t min_connections = 1;
    std::size_t max_connections = 1;
};

/// This host's connections to one instance.
/// Thread safety: all members may be called from any thread; one lock guards the pool.
class instance_link : public std::enable_shared_from_this<instance_link> {
public:
    instance_link(boost::asio::any_io_executor executor, instance_config config,
                  pool_settings settings);

    /// Waits for a connection; customers are served fairly. The coroutine must run on a strand.
    boost::asio::awaitable<acquire_result> acquire(customer_id customer, time_point deadline);

    /// As `acquire`, for a transaction that will hold the connection. One connection is reserved
    /// for single statements, so that open transactions cannot block them.
    boost::asio::awaitable<acquire_result> acquire_for_transaction(customer_id customer,
                                                                   time_point deadline);

    /// Calls the instance on the control connection, outside the pool, one call at a time.
    /// Throws request_error.
    boost::asio::awaitable<database_reply> control(database_request request, time_point deadline);

    void set_limits(const connection_limits& limits);
    void refuse_all(const std::string& reason);
    /// Refuses waiters whose deadline has passed and retries failed connection attempts.
    void tick(time_point now);

    [[nodiscard]] const instance_config& config() const noexcept { return config_; }
    /// Statements that hold or wait for a connection.
    [[nodiscard]] std::size_t outstanding() const;
    [[nodiscard]] std::size_t open_connections() const;

private:
    friend class connection_lease;

    using waiter = std::shared_ptr<async_result<acquire_result>>;

    void release_connection(connection_number number, bool reusable) noexcept;
    bool reserve_transaction();
    void release_transaction() noexcept;
    void perform(const pool_actions& actions);
    void execute(const grant_connection& action);
    void execute(const open_connection& action);
    void execute(const close_connection& action);
    void execute(const refuse_waiter& action);
    waiter remove_waiter(waiter_number number);
    boost::asio::awaitable<void> open(connection_number number);
    template <class Event>
    void with_pool(Event event);

    boost::asio::any_io_executor executor_;
    instance_config config_;
    mutable std::mutex mutex_;
    connection_pool pool_;
    std::map<connection_number, std::shared_ptr<database_connection>> connections_;
    std::map<waiter_number, waiter> waiters_;
    waiter_number last_waiter_;
    std::size_t transactions_ = 0;
    std::size_t max_transactions_ = 1;
    std::shared_ptr<control_channel> control_;
};

}  // namespace masticgrade
