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
    if (!co_await wait_for_turn(deadline)) {
        throw request_error("control", instance_.str(), "the control connection is busy", false);
    }
    const scope_guard guard{[self] { self->pass_turn(); }};
    if (!connection_ || !connection_->is_open()) {
        connection_ = std::make_unique<database_connection>(executor_, instance_);
        co_await connection_->connect(deadline);
    }
    co_return co_await connection_->call(std::move(request), deadline);
}

asio::awaitable<bool> control_channel::wait_for_turn(time_point deadline) {
    turn own;
    const auto executor = co_await asio::this_coro::executor;
    {
        const std::scoped_lock lock{mutex_};
        if (!busy_) {
            busy_ = true;
            co_return true;
        }
        own = std::make_shared<async_result<bool>>(executor);
        queue_.push_back(own);
    }
    const auto granted = co_await own->wait(deadline);
    co_return granted.has_value();
}

void control_channel::pass_turn() noexcept {
    const std::scoped_lock lock{mutex_};
    while (!queue_.empty()) {
        const auto next = std::move(queue_.front());
        queue_.pop_front();
        // A call whose deadline has passed takes no turn any more.
        if (next->set(true)) {
            return;
        }
    }
    busy_ = false;
}

}  // namespace masticgrade
