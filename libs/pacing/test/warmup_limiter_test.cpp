#include "masticgrade/pacing/warmup_limiter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace masticgrade;

namespace {

/// The largest number of statements in any closed window of the given length.
std::size_t most_in_window(const std::vector<time_point>& sent, duration length) {
    std::size_t result = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto end = std::upper_bound(first, sent.end(), *first + length);
        result = std::max(result, static_cast<std::size_t>(std::distance(first, end)));
    }
    return result;
}

}  // namespace

// Guards against bursts that straddle the refill of a bucket or the start of a counting period.
TEST_CASE("no window of one second holds more statements than the rate allows") {
    const auto holds = rc::check([] {
        const auto rate = static_cast<std::size_t>(*rc::gen::inRange(1, 60));
        warmup_limiter limiter;
        limiter.configure(static_cast<double>(rate));
        time_point now{};
        std::vector<time_point> sent;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const auto step : steps) {
            now += milliseconds{step};
            const auto statements = static_cast<std::size_t>(1 + step % 3);
            if (limiter.take(statements, now)) {
                sent.insert(sent.end(), statements, now);
            }
        }
        RC_ASSERT(most_in_window(sent, warmup_limiter::window) <= rate);
    });
    CHECK(holds);
}

// Guards against a window that forgets what was sent at a higher rate.
TEST_CASE("a changed rate holds for the statements that were sent before") {
    const auto holds = rc::check([] {
        warmup_limiter limiter;
        time_point now{};
        std::vector<time_point> sent;
        std::size_t highest = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
        for (const auto step : steps) {
            const auto rate = static_cast<std::size_t>(step % 7);
            highest = std::max(highest, rate);
            limiter.configure(static_cast<double>(rate));
            now += milliseconds{step};
            const auto in_window = static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(),
                              [&](time_point at) { return now - at <= warmup_limiter::window; }));
            if (limiter.take(1, now)) {
                RC_ASSERT(in_window + 1 <= rate);
                sent.push_back(now);
            }
        }
        RC_ASSERT(most_in_window(sent, warmup_limiter::window) <= highest);
    });
    CHECK(holds);
}

// Guards against an instance that stays idle although the limit admits work.
TEST_CASE("a waiting statement is admitted at the announced time and the rate is used") {
    const auto holds = rc::check([] {
        const int rate = *rc::gen::inRange(1, 40);
        warmup_limiter limiter;
        limiter.configure(rate);
        time_point now{};
        const auto end = now + seconds{10};
        int sent = 0;
        while (now < end) {
            const auto ready = limiter.ready_at(now);
            RC_ASSERT(ready >= now);
            if (ready > now) {
                RC_ASSERT(!limiter.take(1, ready - duration{1}));
            }
            now = ready;
            RC_ASSERT(limiter.take(1, now));
            ++sent;
        }
        RC_ASSERT(sent >= rate * 9);
    });
    CHECK(holds);
}

TEST_CASE("a rate below one admits one statement in several seconds and none at zero") {
    warmup_limiter limiter;
    const time_point start{};
    CHECK(limiter.ready_at(start) == time_point::max());
    CHECK_FALSE(limiter.take(1, start));
    limiter.configure(0.5);
    CHECK(limiter.take(1, start));
    CHECK_FALSE(limiter.take(1, start + milliseconds{1900}));
    CHECK(limiter.take(1, start + milliseconds{2001}));
}

// Guards against two hosts that use the full rate within the second in which the sender changes.
TEST_CASE("a closed limiter admits nothing until it opens") {
    warmup_limiter limiter;
    limiter.configure(5);
    const time_point start{};
    limiter.close_until(start + seconds{1});
    CHECK_FALSE(limiter.take(1, start + milliseconds{999}));
    CHECK(limiter.ready_at(start) == start + seconds{1});
    CHECK(limiter.take(5, start + seconds{1}));
    CHECK_FALSE(limiter.take(1, start + seconds{1}));
}
