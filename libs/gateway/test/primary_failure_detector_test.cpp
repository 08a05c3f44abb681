#include "masticgrade/gateway/primary_failure_detector.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(100);

/// Calls `tick` every 50 ms from `from` to `end`.
void run_ticks(primary_failure_detector& detector, time_point from, time_point end) {
    for (auto now = from; now <= end; now += milliseconds{50}) {
        detector.tick(now);
    }
}

}  // namespace

// A single silent connection must not cause a promotion while new connections work.
TEST_CASE("missing answers cause a probe, and a successful probe resets the timeout") {
    primary_failure_detector detector;
    detector.reset(start);
    detector.on_statement_sent(start);
    const auto later = start + primary_failure_detector::response_timeout;
    run_ticks(detector, start, later);
    CHECK(detector.should_probe(later));
    CHECK_FALSE(detector.is_dead(later));
    detector.on_probe_result(true, later);
    CHECK_FALSE(detector.should_probe(later));
}

TEST_CASE("the primary is dead after two failed probes without an answer between them") {
    primary_failure_detector detector;
    detector.reset(start);
    detector.on_statement_sent(start);
    detector.on_probe_result(false, start + milliseconds{700});
    CHECK_FALSE(detector.is_dead(start + milliseconds{700}));
    detector.on_answer(start + milliseconds{800});
    detector.on_statement_sent(start + milliseconds{800});
    detector.on_probe_result(false, start + milliseconds{1500});
    CHECK_FALSE(detector.is_dead(start + milliseconds{1500}));
    detector.on_probe_result(false, start + milliseconds{1800});
    CHECK(detector.is_dead(start + milliseconds{1800}));
}

// A primary that has lost its replicas answers reads but completes no commit.
TEST_CASE("the primary is dead if all commits time out") {
    primary_failure_detector detector;
    detector.reset(start);
    detector.on_commit_sent(start);
    detector.on_commit_timeout(start + milliseconds{800});
    detector.on_commit_timeout(start + milliseconds{900});
    CHECK_FALSE(detector.is_dead(start + milliseconds{900}));
    const auto later = start + primary_failure_detector::commit_stall_limit;
    CHECK(detector.is_dead(later));
    detector.on_commit_answered(later);
    CHECK_FALSE(detector.is_dead(later));
}

// After this process was suspended, the time without answers says nothing about the primary.
TEST_CASE("a gap between ticks resets the detector") {
    primary_failure_detector detector;
    detector.reset(start);
    detector.tick(start);
    detector.on_statement_sent(start);
    detector.on_probe_result(false, start);
    detector.on_probe_result(false, start);
    CHECK(detector.is_dead(start));
    detector.tick(start + seconds{4});
    CHECK_FALSE(detector.is_dead(start + seconds{4}));
    CHECK_FALSE(detector.should_probe(start + seconds{4}));
}

// After a slow statement, idle hosts must not probe the primary indefinitely.
TEST_CASE("a successful probe is repeated only while statements are being sent") {
    primary_failure_detector detector;
    auto now = time_point{} + seconds{10};
    detector.reset(now);
    detector.on_statement_sent(now);
    now += primary_failure_detector::response_timeout;
    CHECK(detector.should_probe(now));
    detector.on_probe_result(true, now);
    CHECK(detector.should_probe(now + primary_failure_detector::response_timeout));
    CHECK_FALSE(detector.should_probe(now + primary_failure_detector::probe_activity_window +
                                      milliseconds{1}));
    detector.on_statement_sent(now + seconds{5});
    CHECK(detector.should_probe(now + seconds{5} + primary_failure_detector::response_timeout));
}
