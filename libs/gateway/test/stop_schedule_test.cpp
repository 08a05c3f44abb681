#include "stop_schedule.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

// Guards against a process that still accepts work which its end cuts off.
TEST_CASE("a stop refuses work at half of its grace and ends before the process is killed") {
    const time_point started{seconds{100}};
    const milliseconds grace{6000};
    const stop_schedule schedule{started, grace};
    CHECK_FALSE(schedule.closes_sessions(started));
    CHECK(schedule.closes_sessions(started + grace / 3));
    CHECK_FALSE(schedule.refuses_work(started + grace / 3));
    CHECK(schedule.refuses_work(started + grace / 2));
    CHECK(schedule.answer_deadline() > started + grace / 2);
    CHECK(schedule.answer_deadline() < schedule.deadline());
    CHECK(schedule.deadline() < started + grace);
}

TEST_CASE("a long grace does not delay the close of idle sessions") {
    const time_point started{seconds{100}};
    const stop_schedule schedule{started, seconds{60}};
    CHECK(schedule.closes_sessions(started + seconds{3}));
}
