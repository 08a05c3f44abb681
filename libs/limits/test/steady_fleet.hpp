#pragma once

#include <algorithm>
#include <iterator>
#include <vector>

#include "share_simulation.hpp"

namespace masticgrade::simulation {

inline constexpr int steady_fleet_hosts = 7;

/// A typical set of customers: a few large ones and several small ones.
struct customer_load {
    const char* name;
    double rate;
    double burst;
};
inline constexpr customer_load customers[] = {
    {"large-a", 200, 200}, {"large-b", 100, 150}, {"middle-a", 20, 40}, {"middle-b", 20, 20},
    {"small-a", 5, 10},    {"small-b", 2, 3},     {"small-c", 2, 3},    {"small-d", 1, 5}};

/// A fleet of 7 hosts behind a load balancer on a fault-free network, with demand distributed over
/// the hosts according to `weights`.
inline fleet steady_fleet(const share_settings& settings, std::uint64_t seed, double demand,
                          const std::vector<int>& weights) {
    options options;
    options.hosts = steady_fleet_hosts;
    options.settings = settings;
    options.has_load_balancer = true;
    fleet fleet(options, seed);
    for (const auto& customer : customers) {
        fleet.set_customer(customer.name, customer.rate, customer.burst);
    }
    fleet.run_for(seconds(8));
    double sum = 0;
    for (const auto weight : weights) {
        sum += weight;
    }
    for (const auto& customer : customers) {
        for (int host = 0; host < static_cast<int>(weights.size()); ++host) {
            fleet.set_load(customer.name, host, customer.rate * demand * weights[host] / sum);
        }
    }
    fleet.run_for(seconds(10));
    fleet.reset_counts();
    return fleet;
}

/// The fraction of the statements within the rate that were refused.
inline double refused_fraction(const fleet& fleet) {
    const auto total = fleet.total();
    return static_cast<double>(total.refused_within_rate) / static_cast<double>(total.within_rate);
}

inline bool owns_any_customer(const fleet& fleet, int host) {
    return std::any_of(std::begin(customers), std::end(customers),
                       [&](const auto& customer) { return fleet.owner_of(customer.name) == host; });
}

}  // namespace masticgrade::simulation
