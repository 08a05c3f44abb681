#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "steady_fleet.hpp"

using namespace masticgrade;

// Guards against shares and pools that stay lost when a host dies.
TEST_CASE("in the 10 s after a host dies at most 1% of the statements in the rate are refused") {
    const auto holds = rc::check([] {
        auto fleet = simulation::steady_fleet(
            {}, *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::element(0.4, 0.5, 0.6),
            *rc::gen::container<std::vector<int>>(simulation::steady_fleet_hosts,
                                                  rc::gen::inRange(1, 8)));
        const auto victim = *rc::gen::inRange(0, simulation::steady_fleet_hosts);
        fleet.kill(victim);
        fleet.redistribute_load(victim);
        fleet.run_for(seconds(10));
        RC_ASSERT(simulation::refused_fraction(fleet) <= 0.01);
    });
    CHECK(holds);
}
