#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// A value that one coroutine awaits and another thread sets. Only the first call of `set` takes
/// effect. Thread safety: `set` may be called from any thread. A single coroutine may call `wait`,
/// on the given executor, which must be a strand or run on a single thread.
template <class Value>
class async_result : public std::enable_shared_from_this<async_result<Value>> {
public:
    explicit async_result(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Returns false if a value was already set or the wait has ended.
    bool set(Value value) {
        {
            const std::scoped_lock lock{mutex_};
            if (completed_) {
                return false;
            }
            completed_ = true;
            value_.emplace(std::move(value));
        }
        boost::asio::post(timer_.get_executor(),
                          [self = this->shared_from_this()] { self->timer_.cancel(); });
        return true;
    }

    /// Returns nothing if the deadline passes first; later calls of `set` then return false.
    boost::asio::awaitable<std::optional<Value>> wait(time_point deadline) {
        auto self = this->shared_from_this();
        if (!is_completed()) {
            boost::system::error_code ignored;
            timer_.expires_at(deadline);
            co_await timer_.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        const std::scoped_lock lock{mutex_};
        completed_ = true;
        co_return std::exchange(value_, std::nullopt);
    }

private:
    bool is_completed() {
        const std::scoped_lock lock{mutex_};
        return completed_;
    }

    std::mutex mutex_;
    bool completed_ = false;
    std::optional<Value> value_;
    boost::asio::steady_timer timer_;
};

}  // namespace masticgrade
