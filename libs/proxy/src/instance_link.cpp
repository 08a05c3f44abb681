#include "instance_link.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds transaction_poll_interval{10};

}  // namespace

connection_lease::connection_lease(std::shared_ptr<instance_link> link, connection_number number,
                                   std::shared_ptr<database_connection> connection) noexcept
    : link_(std::move(link)), number_(number), connection_(std::move(connection)) {}

connection_lease::connection_lease(connection_lease&& other) noexcept
    : link_(std::move(other.link_)),
      number_(other.number_),
      connection_(std::move(other.connection_)),
      reusable_(other.reusable_),
      holds_transaction_(other.holds_transaction_) {}

connection_lease& connection_lease::operator=(connection_lease&& other) noexcept {
    if (this != &other) {
        release();
        link_ = std::move(other.link_);
        number_ = other.number_;
        connection_ = std::move(other.connection_);
        reusable_ = other.reusable_;
        holds_transaction_ = other.holds_transaction_;
    }
    return *this;
}

connection_lease::~connection_lease() { release(); }

void connection_lease::release() noexcept {
    if (link_) {
        link_->release_connection(number_, reusable_ && connection_->is_open());
        if (holds_transaction_) {
            link_->release_transaction();
        }
        link_.reset();
    }
}

asio::awaitable<database_reply> connection_lease::call(database_request request,
                                                       time_point deadline) {
    const bool was_reusable = std::exchange(reusable_, false);
    auto reply = co_await connection_->call(std::move(request), deadline);
    reusable_ = was_reusable;
    co_return reply;
}

instance_link::instance_link(asio::any_io_executor executor, instance_config config,
                             pool_settings settings)
    : executor_(std::move(executor)),
      config_(std::move(config)),
      pool_(settings),
      control_(std::make_shared<control_channel>(executor_, config_.address)) {}

template <class Event>
void instance_link::with_pool(Event event) {
    pool_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        actions = event(pool_, steady_clock::now());
    }
    perform(actions);
}

asio::awaitable<acquire_result> instance_link::acquire(customer_id customer, time_point deadline) {
    const auto result =
        std::make_shared<async_result<acquire_result>>(co_await asio::this_coro::executor);
    with_pool([&](connection_pool& pool, time_point now) {
        last_waiter_ = last_waiter_.next();
        waiters_.emplace(last_waiter_, result);
        return pool.acquire(last_waiter_, customer, deadline, now);
    });
    auto granted = co_await result->wait(deadline);
    if (!granted) {
        co_return acquire_refused{"no connection became free in time"};
    }
    co_return std::move(*granted);
}

asio::awaitable<acquire_result> instance_link::acquire_for_transaction(customer_id customer,
                                                                       time_point deadline) {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (!reserve_transaction()) {
        if (steady_clock::now() >= deadline) {
            co_return acquire_refused{"too many transactions are open"};
        }
        timer.expires_after(transaction_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    auto acquired = co_await acquire(std::move(customer), deadline);
    if (auto* lease = std::get_if<connection_lease>(&acquired)) {
        lease->hold_transaction();
    } else {
        release_transaction();
    }
    co_return acquired;
}

bool instance_link::reserve_transaction() {
    const std::scoped_lock lock{mutex_};
    if (transactions_ >= max_transactions_) {
        return false;
    }
    ++transactions_;
    return true;
}

void instance_link::release_transaction() noexcept {
    const std::scoped_lock lock{mutex_};
    --transactions_;
}

asio::awaitable<database_reply> instance_link::control(database_request request,
                                                       time_point deadline) {
    co_return co_await control_->call(std::move(request), deadline);
}

void instance_link::set_limits(const connection_limits& limits) {
    {
        const std::scoped_lock lock{mutex_};
        max_transactions_ = std::max<std::size_t>(limits.max_connections, 2) - 1;
    }
    with_pool([&](connection_pool& pool, time_point now) {
        return pool.set_limits(limits.min_connections, limits.max_connections, now);
    });
}

void instance_link::refuse_all(const std::string& reason) {
    with_pool([&](connection_pool& pool, time_point now) { return pool.refuse_all(reason, now); });
}

void instance_link::tick(time_point now) {
    with_pool([&](connection_pool& pool, time_point) { return pool.on_timer(now); });
}

std::size_t instance_link::outstanding() const {
    const std::scoped_lock lock{mutex_};
    return pool_.busy() + pool_.waiting();
}

std::size_t instance_link::open_connections() const {
    const std::scoped_lock lock{mutex_};
    return pool_.open();
}

void instance_link::release_connection(connection_number number, bool reusable) noexcept {
    if (!reusable) {
        std::shared_ptr<database_connection> connection;
        const std::scoped_lock lock{mutex_};
        const auto found = connections_.find(number);
        if (found != connections_.end()) {
            found->second->close();
            connections_.erase(found);
        }
    }
    with_pool(
        [&](connection_pool& pool, time_point now) { return pool.release(number, reusable, now); });
}

void instance_link::perform(const pool_actions& actions) {
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { execute(value); }, action);
    }
}

instance_link::waiter instance_link::remove_waiter(waiter_number number) {
    const std::scoped_lock lock{mutex_};
    auto node = waiters_.extract(number);
    return node.empty() ? nullptr : std::move(node.mapped());
}

void instance_link::execute(const grant_connection& action) {
    const auto waiting = remove_waiter(action.waiter);
    std::shared_ptr<database_connection> connection;
    {
        const std::scoped_lock lock{mutex_};
        connection = connections_.at(action.connection);
    }
    // If the waiter has timed out, the lease ends here and the connection goes to the next waiter.
    connection_lease lease{shared_from_this(), action.connection, std::move(connection)};
    if (waiting) {
        waiting->set(std::move(lease));
    }
}

void instance_link::execute(const open_connection& action) {
    asio::co_spawn(
        asio::make_strand(executor_),
        [self = shared_from_this(), number = action.connection] { return self->open(number); },
        asio::detached);
}

void instance_link::execute(const close_connection& action) {
    const std::scoped_lock lock{mutex_};
    const auto found = connections_.find(action.connection);
    if (found != connections_.end()) {
        found->second->close();
        connections_.erase(found);
    }
}

void instance_link::execute(const refuse_waiter& action) {
    if (const auto waiting = remove_waiter(action.waiter)) {
        waiting->set(acquire_refused{action.reason});
    }
}

asio::awaitable<void> instance_link::open(connection_number number) {
    auto connection = std::make_shared<database_connection>(executor_, config_.address);
    std::string failure;
    try {
        co_await connection->connect(steady_clock::now() + connect_timeout);
    } catch (const error& connect_error) {
        failure = connect_error.reason();
    }
    with_pool([&](connection_pool& pool, time_point now) {
        if (!failure.empty()) {
            return pool.on_open_failed(number, failure, now);
        }
        connections_.emplace(number, connection);
        return pool.on_opened(number, now);
    });
}

}  // namespace masticgrade
