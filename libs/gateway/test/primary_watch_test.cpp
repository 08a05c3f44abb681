#include "masticgrade/gateway/primary_watch.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(100);

/// Calls tick every 50 ms until `end`.
void let_pass(primary_watch& watch, time_point from, time_point end) {
    for (auto now = from; now <= end; now += milliseconds{50}) {
        watch.tick(now);
    }
}

}  // namespace

// Guards against a promotion because one connection went silent while new ones work.
TEST_CASE("silence alone calls for a probe, and a probe that succeeds ends the suspicion") {
    primary_watch watch;
    watch.reset(start);
    watch.on_statement_sent(start);
    const auto later = start + primary_watch::silence_limit;
    let_pass(watch, start, later);
    CHECK(watch.wants_probe(later));
    CHECK_FALSE(watch.is_dead(later));
    watch.on_probe(true, later);
    CHECK_FALSE(watch.wants_probe(later));
}

TEST_CASE("two failed probes in a row mean dead, an answer between them does not") {
    primary_watch watch;
    watch.reset(start);
    watch.on_statement_sent(start);
    watch.on_probe(false, start + milliseconds{700});
    CHECK_FALSE(watch.is_dead(start + milliseconds{700}));
    watch.on_answer(start + milliseconds{800});
    watch.on_statement_sent(start + milliseconds{800});
    watch.on_probe(false, start + milliseconds{1500});
    CHECK_FALSE(watch.is_dead(start + milliseconds{1500}));
    watch.on_probe(false, start + milliseconds{1800});
    CHECK(watch.is_dead(start + milliseconds{1800}));
}

// Guards against a primary that answers reads while no commit ends, as without its replicas.
TEST_CASE("commits that all hang mean dead") {
    primary_watch watch;
    watch.reset(start);
    watch.on_commit_sent(start);
    watch.on_commit_timeout(start + milliseconds{800});
    watch.on_commit_timeout(start + milliseconds{900});
    CHECK_FALSE(watch.is_dead(start + milliseconds{900}));
    const auto later = start + primary_watch::commit_stall_limit;
    CHECK(watch.is_dead(later));
    watch.on_commit_answered(later);
    CHECK_FALSE(watch.is_dead(later));
}

// Guards against a host that was suspended and takes its own pause for the primary's silence.
TEST_CASE("a pause of this host starts everything anew") {
    primary_watch watch;
    watch.reset(start);
    watch.tick(start);
    watch.on_statement_sent(start);
    watch.on_probe(false, start);
    watch.on_probe(false, start);
    CHECK(watch.is_dead(start));
    watch.tick(start + seconds{4});
    CHECK_FALSE(watch.is_dead(start + seconds{4}));
    CHECK_FALSE(watch.wants_probe(start + seconds{4}));
}

// Guards against a fleet whose idle hosts all probe a primary for ever after one slow statement.
TEST_CASE("a probe that succeeded is repeated only while statements are sent") {
    primary_watch watch;
    auto now = time_point{} + seconds{10};
    watch.reset(now);
    watch.on_statement_sent(now);
    now += primary_watch::silence_limit;
    CHECK(watch.wants_probe(now));
    watch.on_probe(true, now);
    CHECK(watch.wants_probe(now + primary_watch::silence_limit));
    CHECK_FALSE(watch.wants_probe(now + primary_watch::interest_time + milliseconds{1}));
    watch.on_statement_sent(now + seconds{5});
    CHECK(watch.wants_probe(now + seconds{5} + primary_watch::silence_limit));
}
