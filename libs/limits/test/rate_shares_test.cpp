#include "masticgrade/limits/rate_shares.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "share_simulation.hpp"
#include "steady_fleet.hpp"

using namespace masticgrade;
using simulation::owns_any_customer;
using simulation::refused_fraction;
using simulation::steady_fleet;
using simulation::steady_fleet_hosts;

namespace {

enum class fault {
    kill,
    restart,
    pause,
    isolate,
    isolate_from_store,
    reconnect,
    remove,
    store_down,
    store_up,
    lower_limits,
    raise_limits,
    remove_and_isolate,
    leave,
    drop_load,
    shift_load
};

struct command {
    fault kind = fault::kill;
    int host = 0;
    int wait_ms = 0;
    int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const command& c) {
    return out << fmt::format("{{{} host={} wait={} amount={}}}", static_cast<int>(c.kind), c.host,
                              c.wait_ms, c.amount);
}

rc::Gen<command> arbitrary_command(int hosts) {
    return rc::gen::build<command>(
        rc::gen::set(&command::kind,
                     rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault::shift_load) + 1),
                                  [](int kind) { return static_cast<fault>(kind); })),
        rc::gen::set(&command::host, rc::gen::inRange(0, hosts)),
        rc::gen::set(&command::wait_ms,
                     rc::gen::element(0, 1, 5, 20, 100, 400, 800, 1500, 3000, 5000)),
        rc::gen::set(&command::amount, rc::gen::inRange(0, 100)));
}

void run(simulation::fleet& fleet, const command& c, int hosts) {
    switch (c.kind) {
        case fault::kill:
            fleet.kill(c.host);
            break;
        case fault::restart:
            fleet.restart(c.host);
            break;
        case fault::pause:
            fleet.pause(c.host, milliseconds(50 * c.amount));
            break;
        case fault::isolate:
            fleet.set_isolated(c.host, true, false);
            break;
        case fault::isolate_from_store:
            fleet.set_isolated(c.host, true, true);
            break;
        case fault::reconnect:
            for (int host = 0; host < hosts; ++host) {
                fleet.set_isolated(host, false, false);
            }
            break;
        case fault::remove:
            fleet.remove_member(c.host);
            break;
        case fault::remove_and_isolate:
            fleet.set_isolated(c.host, true, true);
            fleet.remove_member(c.host);
            break;
        case fault::leave:
            fleet.leave(c.host);
            break;
        case fault::store_down:
            fleet.set_store_available(false);
            break;
        case fault::store_up:
            fleet.set_store_available(true);
            break;
        case fault::lower_limits:
            fleet.set_customer("large", 50 + c.amount, 30 + c.amount);
            fleet.set_customer("small", 2, 3);
            break;
        case fault::raise_limits:
            fleet.set_customer("large", 200 + c.amount, 100 + 2 * c.amount);
            fleet.set_customer("small", 2 + c.amount / 10.0, 3 + c.amount / 20.0);
            break;
        case fault::drop_load:
            for (int host = 0; host < hosts; ++host) {
                fleet.set_load("large", host, 1);
                fleet.set_load("small", host, 0.1);
            }
            break;
        case fault::shift_load:
            for (int host = 0; host < hosts; ++host) {
                fleet.set_load("large", host, host == c.host ? 400 : 20);
                fleet.set_load("small", host, host == c.host ? 10 : 0.5);
            }
            break;
    }
    fleet.run_for(milliseconds(c.wait_ms));
}

/// Runs a schedule of faults with demand above the rate.
simulation::fleet run_schedule(const share_settings& settings, std::uint64_t seed,
                               const std::vector<command>& commands, int hosts) {
    simulation::options options;
    options.hosts = hosts;
    options.settings = settings;
    options.network = {0.05, 0.05, 0.05, microseconds(200), microseconds(5000), seconds(5)};
    simulation::fleet fleet(options, seed);
    fleet.set_customer("large", 200, 60);
    fleet.set_customer("small", 2, 3);
    for (const auto* name : {"idle-a", "idle-b", "idle-c", "idle-d"}) {
        fleet.set_customer(name, 50, 50);
    }
    for (int host = 0; host < hosts; ++host) {
        fleet.set_load("large", host, 60);
        fleet.set_load("small", host, 1.5);
        for (const auto* name : {"idle-a", "idle-b", "idle-c", "idle-d"}) {
            fleet.set_load(name, host, 2);
        }
    }
    fleet.run_for(seconds(6));
    for (const auto& c : commands) {
        run(fleet, c, hosts);
    }
    fleet.run_for(seconds(5));
    return fleet;
}

constexpr int hosts = 5;

auto arbitrary_schedule() {
    return rc::gen::resize(60, rc::gen::container<std::vector<command>>(arbitrary_command(hosts)));
}

auto arbitrary_weights() {
    return rc::gen::container<std::vector<int>>(steady_fleet_hosts, rc::gen::inRange(1, 8));
}

}  // namespace

// Guards against a customer exceeding its rate and burst (guarantee 7) when messages are lost,
// delayed, duplicated or reordered and hosts are paused, restarted, removed or reconfigured.
TEST_CASE("over every interval a customer is admitted at most burst plus rate times time") {
    const auto holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto fleet = run_schedule({}, seed, *arbitrary_schedule(), hosts);
        RC_ASSERT(fleet.max_excess() <= 1e-6);
        RC_ASSERT(fleet.max_share_sum() <= 1 + 1e-6);
    });
    CHECK(holds);
}

// Guards against statements being refused although the demand, distributed unevenly over the hosts,
// is below the rate.
TEST_CASE("without faults at most 0.1% of the statements within the rate are refused") {
    const auto holds = rc::check([] {
        auto fleet = steady_fleet({}, *rc::gen::arbitrary<std::uint64_t>(),
                                  *rc::gen::element(0.4, 0.6, 0.8), *arbitrary_weights());
        fleet.run_for(seconds(60));
        RC_ASSERT(refused_fraction(fleet) <= 0.001);
    });
    CHECK(holds);
}

// Guards against the share of a holder being lost for too long after it dies. The death of an owner
// is tested separately (tests/rate_shares_death).
TEST_CASE("in the 10 s after a holder dies at most 1% of statements within the rate are refused") {
    const auto holds = rc::check([] {
        auto fleet = steady_fleet({}, *rc::gen::arbitrary<std::uint64_t>(),
                                  *rc::gen::element(0.4, 0.5, 0.6), *arbitrary_weights());
        const auto victim =
            *rc::gen::suchThat(rc::gen::inRange(0, steady_fleet_hosts),
                               [&](int host) { return !owns_any_customer(fleet, host); });
        fleet.kill(victim);
        fleet.redistribute_load(victim);
        fleet.run_for(seconds(10));
        RC_ASSERT(refused_fraction(fleet) <= 0.01);
    });
    CHECK(holds);
}
