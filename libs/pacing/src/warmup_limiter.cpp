#include "masticgrade/pacing/warmup_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace masticgrade {

namespace {

/// Longer windows would overflow the clock's range.
constexpr double min_rate = 1e-4;

}  // namespace

void warmup_limiter::configure(double rate) {
    if (rate < min_rate) {
        limit_ = 0;
        length_ = window;
        return;
    }
    limit_ = std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(rate)));
    length_ = std::max<duration>(
        window, std::chrono::ceil<duration>(std::chrono::duration<double>{1 / rate}));
}

void warmup_limiter::close_until(time_point moment) { opens_at_ = std::max(opens_at_, moment); }

std::size_t warmup_limiter::available(time_point now) const {
    if (now < opens_at_) {
        return 0;
    }
    const auto first = std::find_if(sent_.begin(), sent_.end(),
                                    [&](time_point sent) { return is_in_window(sent, now); });
    const auto sent = static_cast<std::size_t>(std::distance(first, sent_.end()));
    return sent < limit_ ? limit_ - sent : 0;
}

bool warmup_limiter::take(std::size_t statements, time_point now) {
    while (!sent_.empty() && !is_in_window(sent_.front(), now)) {
        sent_.pop_front();
    }
    if (available(now) < statements) {
        return false;
    }
    sent_.insert(sent_.end(), statements, now);
    return true;
}

time_point warmup_limiter::ready_at(time_point now) const {
    if (limit_ == 0) {
        return time_point::max();
    }
    if (available(now) > 0) {
        return now;
    }
    if (sent_.size() < limit_) {
        return opens_at_;
    }
    const auto oldest = sent_[sent_.size() - limit_];
    return std::max(opens_at_, oldest + length_ + duration{1});
}

}  // namespace masticgrade
