#pragma once

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <utility>

#include "wake_signal.hpp"

namespace masticgrade::standins {

/// A fixed number of slots, granted in order of arrival. Thread safety: one thread.
class slot_pool {
public:
    explicit slot_pool(unsigned slots) : free_(slots) {}

    class lease {
    public:
        explicit lease(slot_pool& pool) : pool_(&pool) {}
        lease(lease&& other) noexcept : pool_(std::exchange(other.pool_, nullptr)) {}
        lease(const lease&) = delete;
        lease& operator=(const lease&) = delete;
        lease& operator=(lease&&) = delete;
        ~lease() {
            if (pool_ != nullptr) {
                pool_->release();
            }
        }

    private:
        slot_pool* pool_;
    };

    boost::asio::awaitable<lease> acquire() {
        if (free_ > 0) {
            --free_;
            co_return lease(*this);
        }
        waiter self;
        queue_.push_back(&self);
        while (!self.granted) {
            co_await self.wake.wait_until(time_point::max());
        }
        co_return lease(*this);
    }

private:
    struct waiter {
        bool granted = false;
        wake_signal wake;
    };

    void release() {
        if (queue_.empty()) {
            ++free_;
            return;
        }
        auto* next = queue_.front();
        queue_.pop_front();
        next->granted = true;
        next->wake.notify_all();
    }

    unsigned free_;
    std::deque<waiter*> queue_;
};

}  // namespace masticgrade::standins
