#include <fmt/format.h>

#include <cstdlib>
#include <string_view>

#include "steady_fleet.hpp"

using namespace masticgrade;
using namespace masticgrade::simulation;

namespace {

const std::vector<int> equal_weights(steady_fleet_hosts, 1);
const std::vector<int> unequal_weights{7, 1, 3, 2, 5, 1, 2};

double percent(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

struct setup {
    share_mode mode;
    double demand;
    bool is_equal;
};

void print_prefix(const setup& s) {
    fmt::print("mode={} demand={:.0f}% weights={}",
               s.mode == share_mode::shared ? "shared" : "static", 100 * s.demand,
               s.is_equal ? "even" : "uneven");
}

fleet start(const setup& s, std::uint64_t seed) {
    share_settings settings;
    settings.mode = s.mode;
    return steady_fleet(settings, seed, s.demand, s.is_equal ? equal_weights : unequal_weights);
}

void report_steady_state(const setup& s, std::uint64_t seed) {
    auto fleet = start(s, seed);
    const auto messages = fleet.messages();
    fleet.run_for(seconds(600));
    const auto total = fleet.total();
    double max_refused_percent = 0;
    std::string_view max_refused_customer = "none";
    for (const auto& customer : customers) {
        const auto& result = fleet.of(customer.name);
        const auto refused_percent = percent(result.refused_within_rate, result.within_rate);
        if (refused_percent > max_refused_percent) {
            max_refused_percent = refused_percent;
            max_refused_customer = customer.name;
        }
    }
    print_prefix(s);
    fmt::print(
        " in_rate={} refused={:.4f}% worst={} {:.3f}% excess={:.3f} messages_per_host_s={:.1f}\n",
        total.within_rate, percent(total.refused_within_rate, total.within_rate),
        max_refused_customer, max_refused_percent, fleet.max_excess(),
        static_cast<double>(fleet.messages() - messages) / 600.0 / steady_fleet_hosts);
}

enum class event { death, restart, planned_stop };

void apply(fleet& fleet, event kind, int host) {
    switch (kind) {
        case event::death:
            fleet.kill(host);
            fleet.redistribute_load(host);
            break;
        case event::restart:
            fleet.restart(host);
            break;
        case event::planned_stop:
            fleet.leave(host);
            break;
    }
}

void report_event(const setup& s, event kind, std::string_view name, std::uint64_t seed) {
    counts total_counts;
    counts non_owners;
    double max_refused_percent = 0;
    double excess = -1e300;
    for (int host = 0; host < steady_fleet_hosts; ++host) {
        auto fleet = start(s, seed + static_cast<std::uint64_t>(host));
        const bool owner = owns_any_customer(fleet, host);
        apply(fleet, kind, host);
        fleet.run_for(seconds(10));
        const auto total = fleet.total();
        total_counts.within_rate += total.within_rate;
        total_counts.refused_within_rate += total.refused_within_rate;
        if (!owner) {
            non_owners.within_rate += total.within_rate;
            non_owners.refused_within_rate += total.refused_within_rate;
        }
        max_refused_percent =
            std::max(max_refused_percent, percent(total.refused_within_rate, total.within_rate));
        excess = std::max(excess, fleet.max_excess());
    }
    print_prefix(s);
    fmt::print(
        " event={} mean={:.3f}% worst_host={:.3f}% hosts_that_own_nothing={:.3f}% excess={:.3f}\n",
        name, percent(total_counts.refused_within_rate, total_counts.within_rate),
        max_refused_percent, percent(non_owners.refused_within_rate, non_owners.within_rate),
        excess);
}

}  // namespace

/// Prints the refusals of statements within the rate in simulated time. The argument is the seed.
int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    fmt::print("seed={}\n", seed);
    for (const auto mode : {share_mode::shared, share_mode::static_split}) {
        for (const auto demand : {0.6, 0.8}) {
            report_steady_state({mode, demand, false}, seed);
        }
        for (const auto demand : {0.5, 0.7}) {
            for (const bool is_equal : {true, false}) {
                const setup s{mode, demand, is_equal};
                report_event(s, event::death, "death", seed);
                report_event(s, event::restart, "restart", seed);
                report_event(s, event::planned_stop, "planned_stop", seed);
            }
        }
    }
    return 0;
}
