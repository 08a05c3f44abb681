#include "masticgrade/pacing/instance_pace.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace masticgrade;

namespace {

constexpr microseconds usual_time{20000};
constexpr time_point begin_time{seconds{100}};

/// Statements that a pool owner sends beyond the slots, as backend_group does.
constexpr unsigned sent_beyond_slots = 2;

/// How a modelled instance serves statements.
struct instance_model {
    unsigned slots = 4;
    /// Slots in use and waiting statements above this number are answered `busy`.
    std::function<unsigned(duration since_start)> capacity;
    /// Execution time relative to the usual one.
    std::function<double(duration since_start)> slowness;
    /// Whether the instance answers at all.
    std::function<bool(duration since_start)> is_up = [](duration) { return true; };
};

struct replay_result {
    unsigned served = 0;
    unsigned refused = 0;
    unsigned lost = 0;
    /// Refused statements by second.
    std::map<int, unsigned> refused_in_second;
    /// When the pace stopped limiting for the last time.
    std::optional<duration> full_at;
    /// Time in which work waited and nothing was in flight while the instance was up.
    duration idle{};
};

/// Replays a pool owner with an unlimited supply of statements, or one each `interval`, against
/// the model, in steps of one millisecond.
class replay {
public:
    replay(instance_model model, bool paced, std::optional<milliseconds> interval)
        : model_(std::move(model)), paced_(paced), interval_(interval) {}

    replay_result run(duration length) {
        if (paced_) {
            pace_.start(begin_time);
        }
        constexpr milliseconds step{1};
        for (duration at{}; at < length; at += step) {
            now_ = begin_time + at;
            add_demand(at);
            complete(at);
            send(at);
            if (waiting_ > 0 && in_flight_.empty() && model_.is_up(at)) {
                result_.idle += step;
            }
            if (pace_.is_limiting(now_)) {
                result_.full_at.reset();
            } else if (!result_.full_at) {
                result_.full_at = at;
            }
        }
        return result_;
    }

private:
    enum class outcome { served, refused, lost };
    struct statement {
        time_point sent_at;
        time_point ends_at;
        outcome end = outcome::served;
    };

    void add_demand(duration at) {
        if (!interval_) {
            waiting_ = 1000;
        } else if (at % *interval_ == duration{}) {
            ++waiting_;
        }
    }

    void complete(duration at) {
        if (!model_.is_up(at)) {
            for (auto& item : in_flight_) {
                item.end = outcome::lost;
                item.ends_at = std::min(item.ends_at, now_);
            }
        }
        for (std::size_t i = 0; i < in_flight_.size();) {
            if (in_flight_[i].ends_at > now_) {
                ++i;
                continue;
            }
            const auto done = in_flight_[i];
            const auto in_flight = static_cast<unsigned>(in_flight_.size());
            in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
            report(done, in_flight, at);
        }
    }

    void report(const statement& done, unsigned in_flight, duration at) {
        switch (done.end) {
            case outcome::served:
                ++result_.served;
                pace_.on_answer({now_ - done.sent_at, usual_time, in_flight, max_in_flight()},
                                now_);
                break;
            case outcome::refused:
                ++result_.refused;
                ++result_.refused_in_second[static_cast<int>(at / seconds{1})];
                pace_.on_refusal(done.sent_at, now_);
                break;
            case outcome::lost:
                ++result_.lost;
                if (paced_) {
                    pace_.on_failure(now_);
                }
                retry_after_ = now_ + milliseconds{100};
                break;
        }
    }

    [[nodiscard]] unsigned max_in_flight() const { return model_.slots + sent_beyond_slots; }

    void send(duration at) {
        while (waiting_ > 0 && now_ >= retry_after_ && in_flight_.size() < max_in_flight() &&
               pace_.admits(static_cast<unsigned>(in_flight_.size()), now_)) {
            --waiting_;
            statement item{now_, now_ + milliseconds{1}, outcome::lost};
            if (model_.is_up(at) && in_flight_.size() >= model_.capacity(at)) {
                item.end = outcome::refused;
            } else if (model_.is_up(at)) {
                item.end = outcome::served;
                item.ends_at = now_ + service_time(at);
            }
            in_flight_.push_back(item);
        }
    }

    duration service_time(duration at) {
        // Statements beyond the slots wait for as long as one is executed.
        const double waiting = in_flight_.size() >= model_.slots ? 2 : 1;
        std::uniform_real_distribution<double> spread{0.5, 1.5};
        return std::chrono::duration_cast<duration>(usual_time * model_.slowness(at) * waiting *
                                                    spread(random_));
    }

    instance_model model_;
    bool paced_;
    std::optional<milliseconds> interval_;
    instance_pace pace_;
    std::vector<statement> in_flight_;
    unsigned waiting_ = 0;
    time_point now_{};
    time_point retry_after_{};
    replay_result result_;
    std::mt19937 random_{20261204};
};

/// Slots become usable one after the other, and execution times fall from 5 times the usual one.
instance_model cold_instance(duration warmup) {
    instance_model model;
    model.slots = 8;
    const auto progress = [warmup](duration at) {
        return std::min(1.0, static_cast<double>(at.count()) / static_cast<double>(warmup.count()));
    };
    model.capacity = [progress](duration at) {
        return 2 + static_cast<unsigned>(progress(at) * 8);
    };
    model.slowness = [progress](duration at) { return 5 - 4 * progress(at); };
    return model;
}

instance_model steady_instance(double slowness) {
    instance_model model;
    model.capacity = [](duration) { return 32U; };
    model.slowness = [slowness](duration) { return slowness; };
    return model;
}

}  // namespace

// Guards against flooding: without the pace, nearly all statements of the first seconds are sent
// to an instance that refuses them. Fails if `admits` always returns true.
TEST_CASE("a cold instance under more demand than it carries refuses few statements") {
    constexpr seconds warmup{4};
    const auto paced = replay{cold_instance(warmup), true, std::nullopt}.run(seconds{8});
    const auto unpaced = replay{cold_instance(warmup), false, std::nullopt}.run(seconds{8});
    CAPTURE(paced.refused);
    CAPTURE(unpaced.refused);
    CAPTURE(paced.served);
    CAPTURE(unpaced.served);
    CHECK(paced.refused * 20 < unpaced.refused);
    for (const auto& entry : paced.refused_in_second) {
        CAPTURE(entry.first);
        CHECK(entry.second <= 20);
    }
    // The refused statements were no work that the instance could have done.
    CHECK(paced.served * 10 >= unpaced.served * 9);
    CHECK(paced.idle == duration{});
}

// Guards against an instance that is left idle once it is warm.
TEST_CASE("a cold instance gets its full slots soon after it is warm") {
    constexpr seconds warmup{4};
    const auto result = replay{cold_instance(warmup), true, std::nullopt}.run(seconds{8});
    REQUIRE(result.full_at);
    // One round trip, of at most two usual times, for each of the 8 slots.
    CHECK(*result.full_at <= warmup + 8 * 2 * usual_time);
}

TEST_CASE("a cold instance under less demand than it carries serves all of it") {
    constexpr milliseconds interval{100};
    const auto result = replay{cold_instance(seconds{4}), true, interval}.run(seconds{8});
    CHECK(result.refused == 0);
    CHECK(result.served >= 78);
}

// Guards against a start that costs a warm instance noticeable work.
TEST_CASE("a warm instance gets its full slots within a few round trips") {
    const auto result = replay{steady_instance(1), true, std::nullopt}.run(seconds{2});
    REQUIRE(result.full_at);
    CHECK(*result.full_at <= 3 * 2 * usual_time);
    CHECK(result.refused == 0);
}

// Guards against a limit that takes a slow instance for an overloaded one.
TEST_CASE("an instance that is slow but steady gets its full slots") {
    const auto result = replay{steady_instance(5), true, std::nullopt}.run(seconds{5});
    REQUIRE(result.full_at);
    // One round trip for each number of statements in flight: up to 7.5 usual times within the 4
    // slots, and twice that for the two statements beyond, which wait.
    CHECK(*result.full_at <= 60 * usual_time);
    const auto unpaced = replay{steady_instance(5), false, std::nullopt}.run(seconds{5});
    CHECK(result.served * 100 >= unpaced.served * 93);
}

// Guards against connections and statements that are all lost each time the instance goes down.
TEST_CASE("an instance that goes down and up by turns loses fewer statements and serves as many") {
    auto model = steady_instance(1);
    model.is_up = [](duration at) { return at / milliseconds{700} % 2 == 0; };
    const auto paced = replay{model, true, std::nullopt}.run(seconds{7});
    const auto unpaced = replay{model, false, std::nullopt}.run(seconds{7});
    CAPTURE(paced.lost);
    CAPTURE(unpaced.lost);
    CHECK(paced.lost * 2 < unpaced.lost);
    CHECK(paced.served * 10 >= unpaced.served * 9);
}

// Guards against refusals that do not depend on the load, which would hold the limit down for good.
TEST_CASE("the limit ends after its maximum length whatever the instance answers") {
    instance_pace pace;
    pace.start(begin_time);
    auto now = begin_time;
    while (now < begin_time + instance_pace::max_length) {
        CHECK(pace.admits(0, now));
        CHECK_FALSE(pace.admits(1, now));
        pace.on_refusal(now, now + milliseconds{1});
        now += milliseconds{10};
    }
    CHECK(pace.has_expired(now));
    CHECK(pace.admits(100, now));
}

// Guards against answers at low concurrency that are taken for evidence of the full capacity.
TEST_CASE("answers below the limit do not raise it") {
    instance_pace pace;
    pace.start(begin_time);
    const auto now = begin_time + usual_time;
    CHECK(pace.on_answer({usual_time, usual_time, 1, 4}, now));
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(pace.on_answer({usual_time, usual_time, 1, 4}, now));
    }
    CHECK(pace.admits(1, now));
    CHECK_FALSE(pace.admits(2, now));
}

// Guards against a healthy instance that is slowed by one lost answer.
TEST_CASE("a single failure does not limit an instance and the second one in a row does") {
    instance_pace pace;
    CHECK_FALSE(pace.on_failure(begin_time));
    CHECK(pace.admits(100, begin_time));
    pace.on_answer({usual_time, usual_time, 1, 4}, begin_time);
    CHECK_FALSE(pace.on_failure(begin_time));
    CHECK(pace.on_failure(begin_time));
    CHECK(pace.admits(0, begin_time));
    CHECK_FALSE(pace.admits(1, begin_time));
}

// Guards against one burst of refusals that lowers the limit as often as it has answers.
TEST_CASE("refusals of statements that were sent before the limit fell do not lower it again") {
    instance_pace pace;
    pace.start(begin_time);
    auto now = begin_time + usual_time;
    constexpr unsigned full = 64;
    for (unsigned limit = 1; limit < 16; ++limit) {
        REQUIRE(pace.on_answer({usual_time, usual_time, limit, full}, now));
    }
    const auto sent_at = now;
    now += usual_time;
    for (int i = 0; i < 16; ++i) {
        pace.on_refusal(sent_at, now);
    }
    CHECK(pace.admits(7, now));
    CHECK_FALSE(pace.admits(8, now));
}

TEST_CASE("one statement is always admitted and the full pace follows good answers") {
    const auto holds = rc::check([] {
        instance_pace pace;
        auto now = begin_time;
        const unsigned full = *rc::gen::inRange(1U, 20U);
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        for (const auto event : events) {
            now += milliseconds{7};
            if (event == 0) {
                pace.start(now);
            } else if (event == 1) {
                pace.on_refusal(now - milliseconds{5}, now);
            } else if (event == 2) {
                pace.on_failure(now);
            } else {
                pace.on_answer({usual_time * event, usual_time, full, full}, now);
            }
            RC_ASSERT(pace.admits(0, now));
        }
        // Each limit below the full one needs at most as many answers as it admits.
        now += milliseconds{1};
        const auto sent_at = now;
        for (unsigned answers = 0; answers < full * (full + 1) / 2; ++answers) {
            now += milliseconds{1};
            pace.on_answer({now - sent_at, microseconds{1}, full, full}, now);
        }
        RC_ASSERT(!pace.is_limiting(now));
    });
    CHECK(holds);
}
