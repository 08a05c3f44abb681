#include <fmt/format.h>

#include <cstdlib>
#include <string_view>

#include "steady_fleet.hpp"

using namespace masticgrade;
using namespace masticgrade::simulation;

namespace {

const std::vector<int> even(steady_fleet_hosts, 1);
const std::vector<int> uneven{7, 1, 3, 2, 5, 1, 2};

double percent(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

struct setup {
    share_mode mode;
    double demand;
    bool is_even;
};

void print_prefix(const setup& s) {
    fmt::print("mode={} demand={:.0f}% weights={}",
               s.mode == share_mode::shared ? "shared" : "static", 100 * s.demand,
               s.is_even ? "even" : "uneven");
}

fleet start(const setup& s, std::uint64_t seed) {
    share_settings settings;
    settings.mode = s.mode;
    return steady_fleet(settings, seed, s.demand, s.is_even ? even : uneven);
}

void report_quiet(const setup& s, std::uint64_t seed) {
    auto fleet = start(s, seed);
    const auto messages = fleet.messages();
    fleet.run_for(seconds(600));
    const auto total = fleet.total();
    double worst = 0;
    std::string_view worst_name = "none";
    for (const auto& customer : customers) {
        const auto& result = fleet.of(customer.name);
        const auto part = percent(result.refused_in_rate, result.in_rate);
        if (part > worst) {
            worst = part;
            worst_name = customer.name;
        }
    }
    print_prefix(s);
    fmt::print(
        " in_rate={} refused={:.4f}% worst={} {:.3f}% excess={:.3f} messages_per_host_s={:.1f}\n",
        total.in_rate, percent(total.refused_in_rate, total.in_rate), worst_name, worst,
        fleet.worst_excess(),
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
    counts sum;
    counts holders;
    double worst = 0;
    double excess = -1e300;
    for (int host = 0; host < steady_fleet_hosts; ++host) {
        auto fleet = start(s, seed + static_cast<std::uint64_t>(host));
        const bool owner = owns_any_customer(fleet, host);
        apply(fleet, kind, host);
        fleet.run_for(seconds(10));
        const auto total = fleet.total();
        sum.in_rate += total.in_rate;
        sum.refused_in_rate += total.refused_in_rate;
        if (!owner) {
            holders.in_rate += total.in_rate;
            holders.refused_in_rate += total.refused_in_rate;
        }
        worst = std::max(worst, percent(total.refused_in_rate, total.in_rate));
        excess = std::max(excess, fleet.worst_excess());
    }
    print_prefix(s);
    fmt::print(
        " event={} mean={:.3f}% worst_host={:.3f}% hosts_that_own_nothing={:.3f}% excess={:.3f}\n",
        name, percent(sum.refused_in_rate, sum.in_rate), worst,
        percent(holders.refused_in_rate, holders.in_rate), excess);
}

}  // namespace

/// Prints wrongful refusals in simulated time; the argument is the seed.
int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    fmt::print("seed={}\n", seed);
    for (const auto mode : {share_mode::shared, share_mode::static_split}) {
        for (const auto demand : {0.6, 0.8}) {
            report_quiet({mode, demand, false}, seed);
        }
        for (const auto demand : {0.5, 0.7}) {
            for (const bool is_even : {true, false}) {
                const setup s{mode, demand, is_even};
                report_event(s, event::death, "death", seed);
                report_event(s, event::restart, "restart", seed);
                report_event(s, event::planned_stop, "planned_stop", seed);
            }
        }
    }
    return 0;
}
