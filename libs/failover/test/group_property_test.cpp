#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <ostream>

#include "group_model.hpp"
#include "masticgrade/base/invariant.hpp"

using namespace masticgrade;
using masticgrade::test::group_model;
using masticgrade::test::store_mode;

namespace {

/// The state that commands are generated from, which is only the size of the group.
struct schedule {
    int instances = 3;
};

enum class fault_kind {
    none,
    instance_down,
    instance_isolated,
    primary_down,
    primary_isolated,
    primary_isolated_with_host,
    link_cut,
    host_paused,
    host_isolated,
    host_restarted,
    store_changed,
    switchover,
    healed,
    advance_to_promotion,
};

/// Starts or ends a fault, executes writes, and then advances the time.
struct step : rc::state::Command<schedule, group_model> {
    fault_kind kind = *rc::gen::cast<fault_kind>(rc::gen::inRange(0, 14));
    int host = *rc::gen::inRange(0, 3);
    int instance = *rc::gen::inRange(0, 5);
    int mode = *rc::gen::inRange(0, 4);
    bool on = *rc::gen::element(true, true, false);
    int writes = *rc::gen::inRange(0, 6);
    int wait = *rc::gen::element(1, 5, 20, 100, 700, 2500);

    void apply(schedule&) const override {}

    void run(const schedule& state, group_model& model) const override {
        inject(state, model);
        for (int i = 0; i < writes; ++i) {
            model.write((host + i) % 3);
            model.advance(milliseconds{wait});
        }
        model.advance(milliseconds{wait});
        RC_ASSERT(model.violations() == std::vector<std::string>{});
    }

    void show(std::ostream& out) const override {
        out << fmt::format("kind={} host={} instance={} mode={} on={} writes={} wait={}",
                           static_cast<int>(kind), host, instance, mode, on, writes, wait);
    }

protected:
    void inject(const schedule& state, group_model& model) const {
        const int target = instance % state.instances;
        const int primary = model.newest_primary();
        switch (kind) {
            case fault_kind::none:
                break;
            case fault_kind::instance_down:
                model.set_instance_down(target, on);
                break;
            case fault_kind::instance_isolated:
                model.set_instance_isolated(target, on);
                break;
            case fault_kind::primary_down:
                model.set_instance_down(primary, on);
                break;
            case fault_kind::primary_isolated:
                model.set_instance_isolated(primary, on);
                break;
            case fault_kind::primary_isolated_with_host:
                model.isolate_together(host, primary);
                break;
            case fault_kind::link_cut:
                model.cut_link(host, target, on);
                break;
            case fault_kind::host_paused:
                model.set_host_paused(host, on);
                break;
            case fault_kind::host_isolated:
                model.set_host_isolated(host, on);
                break;
            case fault_kind::host_restarted:
                model.restart_host(host);
                break;
            case fault_kind::store_changed:
                model.set_store(static_cast<store_mode>(mode));
                break;
            case fault_kind::switchover:
                model.start_switchover_at(host);
                break;
            case fault_kind::healed:
                model.heal_links();
                break;
            case fault_kind::advance_to_promotion:
                model.advance_to_promotion(seconds{5});
                break;
        }
    }
};

/// Replaces primaries in quick succession and partitions them right after their promotion, so that
/// the instances have conflicting entries of several terms.
struct succession_step : step {
    succession_step() {
        kind =
            *rc::gen::element(fault_kind::primary_isolated, fault_kind::primary_isolated_with_host,
                              fault_kind::advance_to_promotion, fault_kind::advance_to_promotion,
                              fault_kind::instance_isolated, fault_kind::instance_down);
        on = kind != fault_kind::instance_isolated && kind != fault_kind::instance_down ? true : on;
        wait = *rc::gen::element(1, 5, 20, 300);
        writes = *rc::gen::inRange(0, 3);
    }
};

template <class Step>
void check_group(int instances, const char* faults) {
    const bool passed = rc::check(
        fmt::format("a group of {} preserves its guarantees under {}", instances, faults), [=] {
            const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
            const auto before = invariant_violations();
            group_model model{seed, instances};
            model.advance(seconds{4});
            rc::state::check(schedule{instances}, model, rc::state::gen::execOneOfWithArgs<Step>());
            model.heal();
            model.advance(seconds{20});
            const auto acknowledged = model.acknowledged();
            model.write(0);
            model.advance(seconds{2});
            RC_ASSERT(model.violations() == std::vector<std::string>{});
            RC_ASSERT(model.acknowledged() > acknowledged);
            RC_ASSERT(invariant_violations() == before);
        });
    CHECK(passed);
}

}  // namespace

// Guards against an acknowledged write that a later primary lacks, two primaries that acknowledge
// writes at the same term, a cancelled key that is executed, and a group that stays without a
// primary.
TEST_CASE("a group of three preserves its guarantees") { check_group<step>(3, "all faults"); }
TEST_CASE("a group of five preserves its guarantees") { check_group<step>(5, "all faults"); }
TEST_CASE("a group of three preserves its guarantees over many terms") {
    check_group<succession_step>(3, "quick successions");
}
