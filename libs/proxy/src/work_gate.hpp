#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Lets new work start only while the last proof that this host is current is recent.
/// Thread safety: all members may be called from any thread.
class work_gate {
public:
    /// The store answered a read that was sent at the given time.
    void on_read(time_point sent_at) {
        const std::scoped_lock lock{mutex_};
        fresh_until_ = std::max(fresh_until_, sent_at + freshness_window);
    }

    /// Why no new work may start at `now`; empty when it may.
    [[nodiscard]] std::optional<std::string> refusal(time_point now) const {
        const std::scoped_lock lock{mutex_};
        if (now < fresh_until_) {
            return std::nullopt;
        }
        return "this host has not proved itself current in the last 3 s";
    }

private:
    static constexpr seconds freshness_window{3};

    mutable std::mutex mutex_;
    time_point fresh_until_;
};

}  // namespace masticgrade
