#include "masticgrade/limits/usage_limiter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(1000);
const customer_id customer{"parish"};
constexpr milliseconds step{10};
constexpr milliseconds report_interval{250};
constexpr milliseconds report_delay{20};
/// In a large fleet, each of two relays holds a report for up to 100 ms.
constexpr milliseconds relayed_report_delay{220};
/// The required limit: over every 5 s, (rate x 5 + burst) x 1.1 + 20 operations.
constexpr seconds window{5};
constexpr double tolerance_factor = 1.1;
constexpr double tolerance_operations = 20;

host_id name_of(std::size_t index) { return host_id{"host-" + std::to_string(index)}; }

/// Several hosts that exchange reports with a delay; hosts can be isolated and restarted.
class fleet {
public:
    explicit fleet(std::size_t hosts, rate_limit limit, milliseconds delay = report_delay)
        : limit_(limit), delay_(delay) {
        for (std::size_t i = 0; i < hosts; ++i) {
            add();
        }
    }

    void add() {
        ++last_incarnation_;
        hosts_.push_back(
            {std::make_unique<usage_limiter>(now_, last_incarnation_), last_incarnation_, false});
        hosts_.back().limiter->configure({{customer, limit_}}, now_);
    }

    void restart(std::size_t index) {
        auto& host = hosts_[index];
        ++last_incarnation_;
        host = {std::make_unique<usage_limiter>(now_, last_incarnation_), last_incarnation_, false};
        std::set<host_id> others;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (i != index) {
                others.insert(name_of(i));
            }
        }
        host.limiter->expect_peers(others, now_);
        host.limiter->configure({{customer, limit_}}, now_);
    }

    void set_isolated(std::size_t index, bool isolated) { hosts_[index].isolated = isolated; }

    /// Advances the clock by one step, in which each host is offered operations at its rate.
    void advance(const std::vector<double>& offered_per_second) {
        now_ += step;
        deliver();
        if ((now_ - start) % report_interval < step) {
            send_reports();
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            std::poisson_distribution<int> arrivals{offered_per_second[i] *
                                                    std::chrono::duration<double>(step).count()};
            for (int n = arrivals(random_); n > 0; --n) {
                ++offered_;
                if (hosts_[i].limiter->admit(customer, now_)) {
                    admitted_.push_back(now_);
                    ++total_admitted_;
                }
            }
        }
        while (!admitted_.empty() && admitted_.front() <= now_ - window) {
            admitted_.pop_front();
        }
        max_in_window_ = std::max(max_in_window_, admitted_.size());
    }

    void run(duration length, const std::vector<double>& offered_per_second) {
        const auto end = now_ + length;
        while (now_ < end) {
            advance(offered_per_second);
        }
    }

    void reset_counts() { offered_ = total_admitted_ = 0; }

    [[nodiscard]] double allowed_in_window() const {
        return (limit_.rate * std::chrono::duration<double>(window).count() + limit_.burst) *
                   tolerance_factor +
               tolerance_operations;
    }
    [[nodiscard]] std::size_t max_in_window() const { return max_in_window_; }
    [[nodiscard]] std::size_t refused() const { return offered_ - total_admitted_; }
    [[nodiscard]] std::size_t offered() const { return offered_; }

private:
    struct host {
        std::unique_ptr<usage_limiter> limiter;
        std::uint64_t incarnation = 0;
        bool isolated = false;
    };
    struct message {
        boot_time arrives;
        std::size_t sender = 0;
        std::size_t recipient = 0;
        std::uint64_t incarnation = 0;
        usage_report report;
    };

    void send_reports() {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const auto report = hosts_[i].limiter->report(now_, false);
            for (std::size_t k = 0; k < hosts_.size(); ++k) {
                if (k != i && !hosts_[i].isolated && !hosts_[k].isolated) {
                    messages_.push_back({now_ + delay_, i, k, hosts_[i].incarnation, report});
                }
            }
        }
    }

    void deliver() {
        while (!messages_.empty() && messages_.front().arrives <= now_) {
            const auto& item = messages_.front();
            if (!hosts_[item.recipient].isolated) {
                hosts_[item.recipient].limiter->on_report(
                    name_of(item.sender), incarnation_number{item.incarnation}, item.report, now_);
            }
            messages_.pop_front();
        }
    }

    rate_limit limit_;
    milliseconds delay_;
    boot_time now_ = start;
    std::vector<host> hosts_;
    std::deque<message> messages_;
    std::deque<boot_time> admitted_;
    std::mt19937 random_{7};
    std::uint64_t last_incarnation_ = 0;
    std::size_t max_in_window_ = 0;
    std::size_t offered_ = 0;
    std::size_t total_admitted_ = 0;
};

}  // namespace

// Guards against refusals within the rate when the distribution of the traffic over the hosts is
// uneven and changes.
TEST_CASE("a customer below its rate is served on whichever hosts its operations arrive") {
    fleet hosts{6, {100, 100}};
    hosts.run(seconds{6}, {10, 10, 10, 10, 10, 12});
    hosts.reset_counts();
    hosts.run(seconds{5}, {60, 0, 0, 0, 0, 2});
    hosts.run(seconds{5}, {0, 5, 5, 40, 10, 2});
    CHECK(hosts.offered() > 500);
    CHECK(hosts.refused() * 1000 <= hosts.offered());
}

// Guards against each host admitting the customer's entire rate.
TEST_CASE("a customer at several times its rate stays within rate and burst over all hosts") {
    fleet hosts{6, {100, 100}};
    hosts.run(seconds{6}, {10, 10, 10, 10, 10, 12});
    hosts.run(seconds{8}, {75, 75, 75, 75, 75, 90});
    CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
}

// Guards against an overload reducing the admitted operations far below the customer's rate.
TEST_CASE("a customer at several times its rate still gets its rate") {
    fleet hosts{6, {100, 100}};
    hosts.run(seconds{6}, {10, 10, 10, 10, 10, 12});
    hosts.run(seconds{4}, {75, 75, 75, 75, 75, 90});
    hosts.reset_counts();
    hosts.run(seconds{8}, {75, 75, 75, 75, 75, 90});
    const auto admitted = hosts.offered() - hosts.refused();
    CHECK(admitted >= 8 * 100 * 9 / 10);
}

// Guards against every host admitting a full burst after all were killed at the same time.
TEST_CASE("a restart of all hosts gives no second burst") {
    fleet hosts{6, {100, 100}};
    hosts.run(seconds{6}, {10, 10, 10, 10, 10, 12});
    hosts.run(seconds{3}, {75, 75, 75, 75, 75, 90});
    for (std::size_t i = 0; i < 6; ++i) {
        hosts.restart(i);
    }
    hosts.run(seconds{6}, {75, 75, 75, 75, 75, 90});
    CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
}

// Guards against both sides of a partition admitting the entire rate.
TEST_CASE("both sides of a partition together stay within the limit") {
    fleet hosts{6, {100, 100}};
    hosts.run(seconds{6}, {10, 10, 10, 10, 10, 12});
    hosts.set_isolated(0, true);
    hosts.set_isolated(1, true);
    hosts.run(milliseconds{4500}, {75, 75, 75, 75, 75, 90});
    hosts.set_isolated(0, false);
    hosts.set_isolated(1, false);
    hosts.run(seconds{4}, {75, 75, 75, 75, 75, 90});
    CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
}

// Guards against deducting twice, after a partition, the operations that silent hosts admitted from
// the fraction reserved for them: a partition of 7 s left the bucket 128 operations below zero.
TEST_CASE("a customer below its rate is served at once after a partition has healed") {
    for (const auto length : {milliseconds{3000}, milliseconds{7000}}) {
        CAPTURE(length.count());
        fleet hosts{6, {100, 100}};
        hosts.run(seconds{8}, {10, 10, 10, 10, 10, 12});
        hosts.set_isolated(0, true);
        hosts.set_isolated(1, true);
        hosts.run(length, {10, 10, 10, 10, 10, 12});
        hosts.set_isolated(0, false);
        hosts.set_isolated(1, false);
        hosts.reset_counts();
        hosts.run(seconds{4}, {10, 10, 10, 10, 10, 12});
        CHECK(hosts.refused() * 50 <= hosts.offered());
    }
}

// Guards against fractions below one operation in a large fleet: half of all operations were
// refused although 42 of 42 tokens were left.
TEST_CASE("a customer below its rate is served on few or many hosts of a large fleet") {
    constexpr std::size_t count = 68;
    for (const std::size_t serving : {std::size_t{3}, count}) {
        CAPTURE(serving);
        fleet hosts{count, {26, 42}, relayed_report_delay};
        std::vector<double> offered(count, 0);
        hosts.run(seconds{8}, offered);
        std::fill_n(offered.begin(), serving, 16.0 / static_cast<double>(serving));
        hosts.run(seconds{1}, offered);
        CHECK(hosts.refused() * 10 <= hosts.offered());
        hosts.reset_counts();
        hosts.run(seconds{8}, offered);
        CHECK(hosts.refused() * 100 <= hosts.offered());
    }
}

// Guards against the hosts of a large fleet each admitting a few operations and together exceeding
// the limit.
TEST_CASE("a customer far above its rate on all hosts of a large fleet stays within its limit") {
    constexpr std::size_t count = 68;
    for (const double factor : {2.0, 5.0, 10.0}) {
        CAPTURE(factor);
        fleet hosts{count, {26, 42}, relayed_report_delay};
        hosts.run(seconds{6}, std::vector<double>(count, 0.2));
        const std::vector<double> offered(count, factor * 26 / count);
        hosts.run(seconds{8}, offered);
        CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
        hosts.reset_counts();
        hosts.run(seconds{8}, offered);
        const auto admitted = hosts.offered() - hosts.refused();
        CHECK(admitted >= 8 * 26 * 9 / 10);
    }
}

// From 100 hosts on, a host reports a customer only for about half a second after an operation.
TEST_CASE("short reports keep the limit in a fleet of 150 hosts, and admit what is within it") {
    constexpr std::size_t count = 150;
    const std::vector<double> moderate(count, 16.0 / count);
    const std::vector<double> heavy(count, 5.0 * 26 / count);
    fleet hosts{count, {26, 42}, relayed_report_delay};
    hosts.run(seconds{8}, moderate);
    hosts.reset_counts();
    hosts.run(seconds{8}, moderate);
    CHECK(hosts.refused() * 100 <= hosts.offered());
    hosts.run(seconds{8}, heavy);
    CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
    hosts.reset_counts();
    hosts.run(seconds{8}, heavy);
    CHECK(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
    CHECK(hosts.offered() - hosts.refused() >= 8 * 26 * 9 / 10);
}

// Guards against counting a report twice that arrives over two paths, and against an older report
// replacing a newer one.
TEST_CASE("a duplicate or outdated report has no effect") {
    usage_limiter limiter{start};
    limiter.configure({{customer, {10, 10}}}, start);
    const host_id other{"other"};
    const auto report_at = [&](milliseconds uptime, std::uint64_t admitted) {
        usage_report report;
        report.uptime = uptime;
        report.usage = {{customer, admitted, 1}};
        return report;
    };
    const auto now = start + seconds{2};
    constexpr incarnation_number incarnation{4};
    CHECK(limiter.on_report(other, incarnation, report_at(milliseconds{500}, 1), now));
    CHECK(limiter.on_report(other, incarnation, report_at(milliseconds{700}, 3), now));
    const auto level = limiter.state_of(customer, now).tokens;
    CHECK_FALSE(limiter.on_report(other, incarnation, report_at(milliseconds{700}, 3), now));
    CHECK_FALSE(limiter.on_report(other, incarnation, report_at(milliseconds{600}, 2), now));
    CHECK(limiter.state_of(customer, now).tokens == doctest::Approx(level));
    auto last = report_at(milliseconds{700}, 3);
    last.leaving = true;
    CHECK(limiter.on_report(other, incarnation, last, now));
    CHECK(limiter.live_peer_count(now) == 0);
    CHECK_FALSE(limiter.on_report(other, incarnation, report_at(milliseconds{710}, 3), now));
    CHECK(limiter.live_peer_count(now) == 0);
}

// Guards against counting a previously idle host's old total as new operations.
TEST_CASE("operations before an idle period are not counted again") {
    fleet hosts{3, {20, 20}};
    hosts.run(seconds{5}, {10, 0, 0});
    hosts.run(seconds{20}, {0, 0, 0});
    hosts.reset_counts();
    hosts.run(seconds{5}, {3, 3, 3});
    CHECK(hosts.refused() == 0);
}

// Guards against refusing a configured customer without previous operations, and against admitting
// unknown customers.
TEST_CASE("customers without a limit are refused") {
    usage_limiter limiter{start};
    limiter.configure({{customer, {10, 10}}}, start);
    CHECK_FALSE(limiter.admit(customer_id{"stranger"}, start + seconds{5}));
    CHECK(limiter.admit(customer, start + seconds{5}));
}

// Guards against a lower limit taking effect only after the old tokens are used up.
TEST_CASE("a lower limit drops the tokens above its burst") {
    usage_limiter limiter{start};
    limiter.configure({{customer, {100, 100}}}, start);
    for (int i = 1; i <= 5; ++i) {
        static_cast<void>(limiter.retry_after(customer, start + seconds{i}));
    }
    limiter.configure({{customer, {1, 2}}}, start + seconds{5});
    int admitted = 0;
    while (limiter.admit(customer, start + seconds{5})) {
        ++admitted;
    }
    CHECK(admitted == 2);
    CHECK(limiter.retry_after(customer, start + seconds{5}) > milliseconds{500});
}

// Guards against limits that hold only for the load patterns above.
TEST_CASE("rate and burst hold under random overloads and restarts") {
    CHECK(rc::check([] {
        const auto rate = static_cast<double>(*rc::gen::inRange(20, 200));
        const auto hosts_count = *rc::gen::inRange<std::size_t>(2, 8);
        fleet hosts{hosts_count, {rate, rate}};
        std::vector<double> steady(hosts_count, 0.6 * rate / static_cast<double>(hosts_count));
        hosts.run(seconds{4}, steady);
        for (int phase = 0; phase < 3; ++phase) {
            auto offered = steady;
            for (auto& value : offered) {
                value *= static_cast<double>(*rc::gen::inRange(0, 80)) / 10;
            }
            hosts.run(seconds{2}, offered);
            hosts.restart(*rc::gen::inRange<std::size_t>(0, hosts_count));
        }
        RC_ASSERT(static_cast<double>(hosts.max_in_window()) <= hosts.allowed_in_window());
    }));
}

// The number of live peers is counted when reports arrive, and must match the peers' liveness under
// any order of reports, silences, restarts and departures.
TEST_CASE("the count of live peers matches the liveness of each peer") {
    CHECK(rc::check([] {
        constexpr std::size_t peers = 6;
        usage_limiter limiter{start};
        limiter.configure({{customer, {100, 100}}}, start);
        std::vector<milliseconds> uptimes(peers, milliseconds{0});
        std::vector<std::uint64_t> incarnations(peers, 1);
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds{*rc::gen::inRange(0, 1500)};
            const auto peer = *rc::gen::inRange<std::size_t>(0, peers);
            switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    limiter.expect_peers({name_of(peer)}, now);
                    break;
                case 1:
                    ++incarnations[peer];
                    uptimes[peer] = milliseconds{0};
                    break;
                case 2:
                    limiter.admit(customer, now);
                    break;
                default: {
                    usage_report report;
                    report.uptime = uptimes[peer] += milliseconds{1};
                    report.age = milliseconds{*rc::gen::inRange(0, 300)};
                    report.leaving = *rc::gen::inRange(0, 10) == 0;
                    report.usage.push_back({customer, 1, 1, 1});
                    limiter.on_report(name_of(peer), incarnation_number{incarnations[peer]}, report,
                                      now);
                }
            }
            std::size_t live = 0;
            for (std::size_t other = 0; other < peers; ++other) {
                live += limiter.is_live(name_of(other), now) ? 1 : 0;
            }
            RC_ASSERT(limiter.live_peer_count(now) == live);
        }
    }));
}
