#include "masticgrade/limits/token_bucket.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace masticgrade;

// Guards against surplus tokens, for instance after a change of rate or capacity.
TEST_CASE("a bucket admits at most capacity plus rate times time over every interval") {
    const auto holds = rc::check([] {
        const double rate = *rc::gen::inRange(1, 50);
        const double capacity = *rc::gen::inRange(1, 20);
        token_bucket bucket(time_point{});
        bucket.configure(rate, capacity, time_point{});
        time_point now{};
        std::vector<time_point> admitted;
        for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200))) {
            now += milliseconds(step);
            bucket.configure(rate, step % 3 == 0 ? capacity / 2 : capacity, now);
            if (bucket.take(1, now)) {
                admitted.push_back(now);
            }
        }
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const std::chrono::duration<double> span = admitted[last] - admitted[first];
                RC_ASSERT(static_cast<double>(last - first + 1) <=
                          capacity + rate * span.count() + 1e-6);
            }
        }
    });
    CHECK(holds);
}

// Guards against a predicted wait that is too short or too long.
TEST_CASE("a token is available at the predicted time and not before") {
    token_bucket bucket(time_point{});
    bucket.configure(2, 3, time_point{});
    const auto ready = bucket.ready_at(1, time_point{});
    CHECK(ready == time_point{} + milliseconds(500));
    CHECK_FALSE(bucket.take(1, ready - microseconds(10)));
    CHECK(bucket.take(1, ready));
    CHECK(bucket.ready_at(4, ready) == time_point::max());
}
