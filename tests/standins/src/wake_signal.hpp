#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "masticgrade/base/time.hpp"

namespace masticgrade::standins {

/// Lets coroutines wait for a change of shared state. Thread safety: one thread.
class wake_signal {
public:
    /// Returns when notified or at `until`.
    boost::asio::awaitable<void> wait_until(time_point until) {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, until);
        waiting_.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        waiting_.erase(&timer);
    }

    void notify_all() {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }

private:
    std::set<boost::asio::steady_timer*> waiting_;
};

inline boost::asio::awaitable<void> sleep_for(duration length) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, length);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

}  // namespace masticgrade::standins
