#include "workload.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticgrade;
using namespace masticgrade::load;

namespace {

load_options make_options() {
    load_options options;
    options.customers = {{.name = "north", .key = "k", .route = "r", .offered = 50},
                         {.name = "south", .key = "k", .route = "r", .offered = 50}};
    return options;
}

auto times_of(const std::vector<planned_operation>& plan, std::size_t customer) {
    std::vector<duration> times;
    for (const auto& operation : plan) {
        if (operation.customer == customer) {
            times.push_back(operation.at);
        }
    }
    return times;
}

}  // namespace

// Guards against runs that cannot be repeated, and against a comparison with and without a heavy
// customer in which the other customers' load differs.
TEST_CASE("a plan depends on the seed only, and a heavy customer changes no other's plan") {
    auto options = make_options();
    const auto plan = plan_operations(options);
    CHECK(times_of(plan, 0) == times_of(plan_operations(options), 0));
    options.heavy_customer = "north";
    options.heavy_factor = 5;
    const auto heavy = plan_operations(options);
    CHECK(times_of(heavy, 1) == times_of(plan, 1));
    CHECK(times_of(heavy, 0).size() > 4 * times_of(plan, 0).size());
    options.seed = 2;
    CHECK(times_of(plan_operations(options), 1) != times_of(plan, 1));
}
