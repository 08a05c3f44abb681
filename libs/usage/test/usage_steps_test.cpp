#include <doctest/doctest.h>

#include "masticgrade/usage/usage_reporter.hpp"

using namespace masticgrade;

namespace {

const host_id self{"host-a"};
const host_id other{"host-b"};
constexpr incarnation_number incarnation{7};
constexpr store_era era{1};
const customer_id customer{"anna"};

/// One reporter whose steps the test answers.
class driven_reporter {
public:
    driven_reporter() { state.rank = 0; }

    void pass(milliseconds time) {
        state.now += time;
        state.wall += time;
        // The host is one of its own collectors.
        collector.on_update(self, incarnation, {{}, 1, state.wall}, state.wall);
    }
    /// Passes the time in which a new process takes no step.
    void pass_start() { pass(settings.lease + usage_reporter::lease_margin); }
    std::optional<usage_step> next() { return reporter.next(state); }
    template <class Step>
    Step next_as() {
        const auto step = next();
        REQUIRE(step);
        REQUIRE(std::holds_alternative<Step>(*step));
        return std::get<Step>(*step);
    }
    void read(const std::optional<usage_record>& record, std::uint64_t version) {
        next_as<read_record_step>();
        reporter.on_record({record, fleet_version{version}, era}, state.now);
    }
    void commit(const write_record_step& step, std::uint64_t version) {
        reporter.on_commit(step, true, fleet_version{version}, era, state.now);
    }
    /// Becomes the holder under the first record and sends a report.
    send_report_step send_first_report() {
        pass_start();
        read(std::nullopt, 0);
        pass(usage_reporter::handover_time);
        pass(settings.window + usage_reporter::settling_time + usage_reporter::patience);
        read(std::nullopt, 0);
        commit(next_as<write_record_step>(), 20);
        return next_as<send_report_step>();
    }
    void count(std::uint64_t total) {
        const auto window = window_at(state.wall, settings.window);
        collector.on_update(self, incarnation, {{{window, {{customer, total}}}}, 1, state.wall},
                            state.wall);
    }

    usage_settings settings;
    usage_collector collector{settings.window};
    std::vector<host_id> live{self};
    usage_reporter::view state{boot_time{seconds{500}}, wall_time{seconds{1'790'000'001}},
                               std::nullopt, live, collector};
    usage_reporter reporter{{self, incarnation}, settings, state.now, state.wall};
};

usage_record record_of(const host_id& holder, std::uint64_t fence, window_number next) {
    return {holder, incarnation_number{1}, fence, era, next, {}};
}

}  // namespace

// Guards against a restarted host that alternates with its successor within the lease.
TEST_CASE("a new process takes no step until a lease has passed") {
    driven_reporter host;
    host.pass(host.settings.lease);
    CHECK(!host.next());
    host.pass(usage_reporter::lease_margin);
    host.next_as<read_record_step>();
}

// Guards against two holders at once while the calls of the first one may be under way.
TEST_CASE("a record of another host is taken over only after it has not changed for some time") {
    driven_reporter host;
    const auto overdue = window_at(host.state.wall - seconds{30}, host.settings.window);
    host.pass_start();
    host.read(record_of(other, 20, overdue), 21);
    CHECK(!host.next());
    host.pass(usage_reporter::handover_time);
    host.read(record_of(other, 20, overdue), 22);
    CHECK(!host.next());
    host.pass(usage_reporter::handover_time);
    host.read(record_of(other, 20, overdue), 22);
    const auto step = host.next_as<write_record_step>();
    CHECK(step.cause == write_record_step::reason::takeover);
    CHECK(step.version == fleet_version{22});
    CHECK(step.record.holder == self);
    CHECK(step.record.fence > 20);
}

TEST_CASE("a record that is kept up to date is not taken over") {
    driven_reporter host;
    host.pass_start();
    const auto next = window_at(host.state.wall, host.settings.window);
    host.read(record_of(other, 20, next), 21);
    for (unsigned i = 0; i < 20; ++i) {
        CHECK(!host.next());
        host.pass(milliseconds{100});
    }
}

// Guards against holders A, B and A within the lease after the store was restored twice.
TEST_CASE("a host does not take the lock again within a lease of its last call") {
    driven_reporter host;
    const auto sent = host.send_first_report();
    host.reporter.on_sent(sent, report_outcome::done, host.state.now);
    host.pass(host.settings.window);
    const auto step = host.next_as<write_record_step>();
    host.reporter.on_sent(sent, report_outcome::done, host.state.now);
    host.reporter.on_commit(step, false, fleet_version{}, store_era{3}, host.state.now);
    host.next_as<read_record_step>();
    auto restored = record_of(self, 1, step.record.next_window);
    host.reporter.on_record({restored, fleet_version{15}, store_era{3}}, host.state.now);
    host.pass(host.settings.lease);
    CHECK(!host.next());
    host.pass(usage_reporter::lease_margin);
    host.next_as<read_record_step>();
    host.reporter.on_record({restored, fleet_version{15}, store_era{3}}, host.state.now);
    CHECK(host.next_as<write_record_step>().record.fence > std::uint64_t{2} << 32U);
}

// Guards against a second, different report for a window that another host with a faster clock
// reported under a record that a restore erased.
TEST_CASE("after a restore a host with a slow clock skips windows that may have been reported") {
    driven_reporter host;
    host.pass_start();
    const auto lead = seconds{7};
    const auto taken_at = host.state.wall + lead;
    host.collector.on_update(other, incarnation, {{}, 0, taken_at}, host.state.wall);
    host.next_as<read_record_step>();
    const auto old = record_of(other, 20, window_at(host.state.wall, host.settings.window));
    host.reporter.on_record({old, fleet_version{21}, store_era{2}}, host.state.now);
    host.pass(usage_reporter::handover_time);
    host.next_as<read_record_step>();
    host.reporter.on_record({old, fleet_version{21}, store_era{2}}, host.state.now);
    const auto step = host.next_as<write_record_step>();
    CHECK(step.record.next_window == window_at(taken_at, host.settings.window).next());
}

// Guards against a host that hears no other and records windows with its own counts only.
TEST_CASE("a host that hears less than half of the fleet acts only before the report is late") {
    driven_reporter host;
    host.state.registered_hosts = 5;
    host.pass_start();
    const auto next = window_at(host.state.wall, host.settings.window);
    const auto record = record_of(other, 20, next);
    const auto limit =
        end_of(next, host.settings.window) + host.settings.late - usage_reporter::last_resort_time;
    for (; host.state.wall < limit; host.pass(milliseconds{100})) {
        if (const auto step = host.next()) {
            REQUIRE(std::holds_alternative<read_record_step>(*step));
            host.reporter.on_record({record, fleet_version{21}, era}, host.state.now);
        }
    }
    host.pass(seconds{1});
    host.read(record, 21);
    const auto step = host.next_as<write_record_step>();
    CHECK(step.record.next_window == next.next());
}

// Guards against a holder that is replaced while it waits for the totals of a slow host.
TEST_CASE("a collector that lacks totals itself does not take over from the waiting holder") {
    driven_reporter host;
    const host_id slow{"host-c"};
    host.live = {self, other, slow};
    host.state.registered_hosts = 3;
    host.pass_start();
    const auto next = window_at(host.state.wall, host.settings.window);
    const auto record = record_of(other, 20, next);
    const auto end = end_of(next, host.settings.window);
    const auto update = [&](const host_id& sender) {
        host.collector.on_update(sender, incarnation, {{}, 0, host.state.wall}, host.state.wall);
    };
    update(slow);
    for (; host.state.wall < end + usage_reporter::settling_time + usage_reporter::patience;
         host.pass(milliseconds{100})) {
        update(self);
        update(other);
        if (const auto step = host.next()) {
            REQUIRE(std::holds_alternative<read_record_step>(*step));
            host.reporter.on_record({record, fleet_version{21}, era}, host.state.now);
        }
    }
    update(slow);
    host.read(record, 21);
    CHECK(std::holds_alternative<write_record_step>(*host.next()));
}

// Guards against a recorded report that stays unsent until the next window is overdue.
TEST_CASE("another host repeats an unconfirmed report before it is late") {
    driven_reporter host;
    host.pass_start();
    const auto window = window_at(host.state.wall, host.settings.window);
    auto record = record_of(other, 20, window_number{window.value() + 9});
    record.unconfirmed = {{window, {{customer, 3}}}};
    const auto limit =
        end_of(window, host.settings.window) + host.settings.late - usage_reporter::repeat_time;
    for (; host.state.wall < limit; host.pass(milliseconds{100})) {
        if (const auto step = host.next()) {
            REQUIRE(std::holds_alternative<read_record_step>(*step));
            host.reporter.on_record({record, fleet_version{21}, era}, host.state.now);
        }
    }
    host.read(record, 21);
    const auto step = host.next_as<write_record_step>();
    CHECK(step.record.unconfirmed == record.unconfirmed);
    host.commit(step, 22);
    CHECK(host.next_as<send_report_step>().report == record.unconfirmed.front());
}

// Guards against a recorded report that nobody sends because the holder lost its rank.
TEST_CASE("a holder without a rank sends recorded reports while its commit is valid") {
    driven_reporter host;
    const auto sent = host.send_first_report();
    host.state.rank.reset();
    CHECK(host.next_as<send_report_step>().report == sent.report);
    host.pass(usage_reporter::commit_validity + milliseconds{1});
    CHECK(!host.next());
}

// Guards against a record that outgrows a row of the store after an outage, and is retried often.
TEST_CASE("one window is recorded a commit, and failed commits are repeated less and less often") {
    driven_reporter host;
    const auto sent = host.send_first_report();
    host.reporter.on_sent(sent, report_outcome::done, host.state.now);
    host.pass(2 * host.settings.window);
    const auto first = host.next_as<write_record_step>();
    CHECK(first.record.unconfirmed.size() == 1);
    host.reporter.on_store_failed(host.state.now);
    const usage_record before{self, incarnation, sent.fence, era, sent.report.window.next(), {}};
    for (const auto delay : {300, 600, 1200, 1200}) {
        host.pass(milliseconds{delay - 1});
        CHECK(!host.next());
        host.pass(milliseconds{1});
        host.read(before, 20);
        host.next_as<write_record_step>();
        host.reporter.on_store_failed(host.state.now);
    }
}

// Guards against a token that is used again after the platform has refused it.
TEST_CASE("a refused token is not used again") {
    driven_reporter host;
    const auto sent = host.send_first_report();
    host.reporter.on_sent(sent, report_outcome::refused, host.state.now);
    CHECK(!host.reporter.is_holder());
    const auto same =
        usage_record{self, incarnation, sent.fence, era, sent.report.window.next(), {sent.report}};
    host.read(same, 20);
    CHECK(!host.next());
    host.pass(host.settings.lease + usage_reporter::lease_margin);
    host.read(same, 20);
    const auto step = host.next_as<write_record_step>();
    CHECK(step.record.fence > sent.fence);
    host.commit(step, 21);
    CHECK(host.next_as<send_report_step>().fence == step.record.fence);
}

// Guards against counts that change between two attempts to record them, of which the first may
// have succeeded.
TEST_CASE("counts that may have been recorded do not change") {
    driven_reporter host;
    const auto first = host.send_first_report();
    host.reporter.on_sent(first, report_outcome::done, host.state.now);
    const auto window = window_at(host.state.wall, host.settings.window);
    host.count(5);
    host.pass(host.settings.window + usage_reporter::settling_time + usage_reporter::patience);
    const auto attempt = host.next_as<write_record_step>();
    REQUIRE(!attempt.record.unconfirmed.empty());
    host.reporter.on_store_failed(host.state.now);
    host.collector.on_update(other, incarnation, {{{window, {{customer, 9}}}}, 1, host.state.wall},
                             host.state.wall);
    host.pass(milliseconds{400});
    const auto before = usage_record{self, incarnation, first.fence, era, window, {}};
    host.read(before, 20);
    const auto repeated = host.next_as<write_record_step>();
    CHECK(repeated.record.unconfirmed == attempt.record.unconfirmed);
}

// Guards against a report that is sent under a lock that another host may have taken meanwhile.
TEST_CASE("a host that was suspended renews its record before it calls") {
    driven_reporter host;
    const auto sent = host.send_first_report();
    host.reporter.on_sent(sent, report_outcome::unknown, host.state.now);
    host.pass(usage_reporter::commit_validity + milliseconds{1});
    const auto step = host.next_as<write_record_step>();
    CHECK(step.record.fence == sent.fence);
    host.commit(step, 21);
    CHECK(host.next_as<send_report_step>().report == sent.report);
}

// Guards against a host that reports without the totals of the others.
TEST_CASE("a host that is no collector takes no step") {
    driven_reporter host;
    host.state.rank.reset();
    host.pass(seconds{60});
    CHECK(!host.next());
}
