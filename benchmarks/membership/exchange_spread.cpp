// Prints how well exchanges spread proofs in a simulated fleet: exchange_spread HOSTS [SEED].
// For each host count: freshness during a store outage, exchanges per host, wrong removals, and the
// time to remove one dead host and a whole failure domain.

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "fleet_simulation.hpp"
#include "masticgrade/base/log.hpp"

namespace {

using namespace masticgrade;
using masticgrade::test::fleet_simulation;

constexpr std::size_t failure_domains = 7;

double milliseconds_of(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

struct outage_figures {
    std::vector<double> ages;
    std::size_t samples = 0;
    std::size_t refused = 0;
    double exchanges_per_host = 0;
};

outage_figures observe(fleet_simulation& fleet, std::size_t hosts, seconds length) {
    outage_figures figures;
    const auto exchanges_before = fleet.exchanges();
    for (auto elapsed = milliseconds{0}; elapsed < length; elapsed += milliseconds{100}) {
        fleet.run(milliseconds{100});
        for (std::size_t host = 0; host < hosts; ++host) {
            ++figures.samples;
            if (const auto age = fleet.current_age(host)) {
                figures.ages.push_back(milliseconds_of(*age));
            } else {
                ++figures.refused;
            }
        }
    }
    std::sort(figures.ages.begin(), figures.ages.end());
    figures.exchanges_per_host = static_cast<double>(fleet.exchanges() - exchanges_before) /
                                 static_cast<double>(hosts) / static_cast<double>(length.count());
    return figures;
}

void print(std::string_view phase, const outage_figures& figures) {
    const auto quantile = [&](double share) {
        return figures.ages.empty() ? 0.0
                                    : figures.ages[static_cast<std::size_t>(
                                          share * static_cast<double>(figures.ages.size() - 1))];
    };
    fmt::print(
        "{}: proof age p50={:.0f} p99={:.0f} max={:.0f} ms, refused={:.4f}%, "
        "exchanges per host={:.2f}/s\n",
        phase, quantile(0.5), quantile(0.99), quantile(1.0),
        100.0 * static_cast<double>(figures.refused) / static_cast<double>(figures.samples),
        figures.exchanges_per_host);
}

/// Kills hosts and returns the time until none of them is listed, or 60 s.
double removal_time(fleet_simulation& fleet, const std::vector<std::size_t>& dead) {
    for (const auto host : dead) {
        fleet.kill(host);
    }
    for (int step = 1; step <= 600; ++step) {
        fleet.run(milliseconds{100});
        if (std::none_of(dead.begin(), dead.end(),
                         [&](std::size_t host) { return fleet.listed(host); })) {
            return step / 10.0;
        }
    }
    return 60.0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        fmt::print(stderr, "usage: exchange_spread HOSTS [SEED]\n");
        return 2;
    }
    set_log_level(log_level::error);
    const auto hosts = static_cast<std::size_t>(std::atoi(argv[1]));
    const auto seed = argc > 2 ? static_cast<std::uint64_t>(std::atoll(argv[2])) : 1;
    test::simulation_settings settings;
    settings.hosts = hosts;
    settings.listed_at_start = true;

    fmt::print("hosts={} seed={}\n", hosts, seed);
    fleet_simulation fleet{settings, seed};
    fleet.run(seconds{10});
    print("store answers", observe(fleet, hosts, seconds{20}));
    fmt::print("removals of living hosts={}\n", fleet.removals_of_living());
    fleet.set_store_available(false);
    print("store outage from its start", observe(fleet, hosts, seconds{25}));
    fleet.set_store_available(true);
    fleet.run(seconds{10});
    fmt::print("one dead host removed after {:.1f} s\n", removal_time(fleet, {0}));
    fleet.run(seconds{10});
    std::vector<std::size_t> domain;
    for (std::size_t host = 1; host < hosts; host += failure_domains) {
        domain.push_back(host);
    }
    fmt::print("{} hosts of a failure domain removed after {:.1f} s\n", domain.size(),
               removal_time(fleet, domain));
    fmt::print("removals of living hosts={} violations={}\n", fleet.removals_of_living(),
               fleet.violations().size());
    return 0;
}
