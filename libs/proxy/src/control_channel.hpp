#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>
#include <mutex>

#include "masticgrade/net/async_result.hpp"
#include "masticgrade/net/database_client.hpp"

namespace masticgrade {

/// A connection for calls outside any statement (state, confirm, seal, promote, follow). They run
/// one at a time in order of arrival. After a failure the next call opens a new connection. Thread
/// safety: all members may be called from any thread.
class control_channel : public std::enable_shared_from_this<control_channel> {
public:
    control_channel(boost::asio::any_io_executor executor, endpoint_address instance);

    /// Throws request_error. The coroutine must run on a strand.
    boost::asio::awaitable<database_reply> call(database_request request, time_point deadline);

private:
    using waiter = std::shared_ptr<async_result<bool>>;

    boost::asio::awaitable<bool> acquire(time_point deadline);
    void release() noexcept;

    boost::asio::any_io_executor executor_;
    endpoint_address instance_;
    std::mutex mutex_;
    bool busy_ = false;
    std::deque<waiter> waiters_;
    /// Used only by the call that holds the channel.
    std::unique_ptr<database_connection> connection_;
};

}  // namespace masticgrade
