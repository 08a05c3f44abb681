#include "masticgrade/gateway/primary_failure_detector.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(100);

/// Calls tick every 50 ms until `end`.
void let_pass(primary_failure_detector& watch, time_point from, time_point end) {
    for (auto now = from; now <= end; now += milliseconds{50}) {
        watch.tick(now);
    }
}

}  // namespace

// Guards against a promotion because one connection went silent while new ones work.
TEST_CASE("silence alone calls for a probe, and a probe that succeeds ends the suspicion") {
    primary_failure_detector watch;
    watch.reset(start);
    watch.on_statement_sent(start);
    const auto later = start + primary_failure_detector::response_timeout;
    let_pass(watch, start, later);
    CHECK(watch.should_probe(later));
    CHECK_FALSE(watch.is_dead(later));
    watch.on_probe_result(true, later);
    CHECK_FALSE(watch.should_probe(later));
}

TEST_CASE("two failed probes in a row mean dead, an answer between them does not") {
    primary_failure_detector watch;
    watch.reset(start);
    watch.on_statement_sent(start);
    watch.on_probe_result(false, start + milliseconds{700});
    CHECK_FALSE(watch.is_dead(start + milliseconds{700}));
    watch.on_answer(start + milliseconds{800});
    watch.on_statement_sent(start + milliseconds{800});
    watch.on_probe_result(false, start + milliseconds{1500});
    CHECK_FALSE(watch.is_dead(start + milliseconds{1500}));
    watch.on_probe_result(false, start + milliseconds{1800});
    CHECK(watch.is_dead(start + milliseconds{1800}));
}

// Guards against a primary that answers reads while no commit ends, as without its replicas.
TEST_CASE("commits that all hang mean dead") {
    primary_failure_detector watch;
    watch.reset(start);
    watch.on_commit_sent(start);
    watch.on_commit_timeout(start + milliseconds{800});
    watch.on_commit_timeout(start + milliseconds{900});
    CHECK_FALSE(watch.is_dead(start + milliseconds{900}));
    const auto later = start + primary_failure_detector::commit_stall_limit;
    CHECK(watch.is_dead(later));
    watch.on_commit_answered(later);
    CHECK_FALSE(watch.is_dead(later));
}

// Guards against a host that was suspended and takes its own pause for the primary's silence.
TEST_CASE("a pause of this host starts everything anew") {
    primary_failure_detector watch;
    watch.reset(start);
    watch.tick(start);
    watch.on_statement_sent(start);
    watch.on_probe_result(false, start);
    watch.on_probe_result(false, start);
    CHECK(watch.is_dead(start));
    watch.tick(start + seconds{4});
    CHECK_FALSE(watch.is_dead(start + seconds{4}));
    CHECK_FALSE(watch.should_probe(start + seconds{4}));
}

// Guards against a fleet whose idle hosts all probe a primary for ever after one slow statement.
TEST_CASE("a probe that succeeded is repeated only while statements are sent") {
    primary_failure_detector watch;
    auto now = time_point{} + seconds{10};
    watch.reset(now);
    watch.on_statement_sent(now);
    now += primary_failure_detector::response_timeout;
    CHECK(watch.should_probe(now));
    watch.on_probe_result(true, now);
    CHECK(watch.should_probe(now + primary_failure_detector::response_timeout));
    CHECK_FALSE(watch.should_probe(now + primary_failure_detector::probe_activity_window +
                                   milliseconds{1}));
    watch.on_statement_sent(now + seconds{5});
    CHECK(watch.should_probe(now + seconds{5} + primary_failure_detector::response_timeout));
}
