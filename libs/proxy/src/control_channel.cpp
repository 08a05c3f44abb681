#include "control_channel.hpp"

#include <boost/asio/this_coro.hpp>
#include <utility>

#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;

control_channel::control_channel(asio::any_io_executor executor, endpoint_address instance)
    : executor_(std::move(executor)), instance_(std::move(instance)) {}

asio::awaitable<database_reply> control_channel::call(database_request request,
                                                      time_point deadline) {
    auto self = shared_from_this();
    if (!co_await acquire(deadline)) {
        throw request_error("control", instance_.str(), "the control connection is busy", false);
    }
    const scope_guard guard{[self] { self->release(); }};
    if (!connection_ || !connection_->is_open()) {
        connection_ = std::make_unique<database_connection>(executor_, instance_);
        co_await connection_->connect(deadline);
    }
    co_return co_await connection_->call(std::move(request), deadline);
}

asio::awaitable<bool> control_channel::acquire(time_point deadline) {
    waiter own_waiter;
    const auto executor = co_await asio::this_coro::executor;
    {
        const std::scoped_lock lock{mutex_};
        if (!busy_) {
            busy_ = true;
            co_return true;
        }
        own_waiter = std::make_shared<async_result<bool>>(executor);
        waiters_.push_back(own_waiter);
    }
    const auto granted = co_await own_waiter->wait(deadline);
    co_return granted.has_value();
}

void control_channel::release() noexcept {
    const std::scoped_lock lock{mutex_};
    while (!waiters_.empty()) {
        const auto next = std::move(waiters_.front());
        waiters_.pop_front();
        // `set` fails for a call whose deadline has passed; the channel then goes to the next one.
        if (next->set(true)) {
            return;
        }
    }
    busy_ = false;
}

}  // namespace masticgrade
