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

/// What the commands must know in advance: nothing but the size of the group.
struct schedule {
    int instances = 3;
};

enum class fault_kind {
    none,
    instance_down,
    instance_cut_off,
    primary_down,
    primary_cut_off,
    primary_cut_off_with_host,
    link_cut,
    host_paused,
    host_cut_off,
    host_restarted,
    store_changed,
    switch_primary,
    healed,
    until_promotion,
};

/// One fault or its end, then some writes, then some time.
struct step : rc::state::Command<schedule, group_model> {
    fault_kind kind = *rc::gen::cast<fault_kind>(rc::gen::inRange(0, 14));
    int host = *rc::gen::inRange(0, 3);
    int instance = *rc::gen::inRange(0, 5);
    int mode = *rc::gen::inRange(0, 4);
    bool on = *rc::gen::element(true, true, false);
    int writes = *rc::gen::inRange(0, 6);
    int wait = *rc::gen::element(1, 5, 20, 100, 700, 2500);

    void apply(schedule&) const override {}

    void run(const schedule& state, group_model& sut) const override {
        inject(state, sut);
        for (int i = 0; i < writes; ++i) {
            sut.write((host + i) % 3);
            sut.advance(milliseconds{wait});
        }
        sut.advance(milliseconds{wait});
        RC_ASSERT(sut.violations() == std::vector<std::string>{});
    }

    void show(std::ostream& out) const override {
        out << fmt::format("kind={} host={} instance={} mode={} on={} writes={} wait={}",
                           static_cast<int>(kind), host, instance, mode, on, writes, wait);
    }

protected:
    void inject(const schedule& state, group_model& sut) const {
        const int target = instance % state.instances;
        const int primary = sut.newest_primary();
        switch (kind) {
            case fault_kind::none:
                break;
            case fault_kind::instance_down:
                sut.set_instance_down(target, on);
                break;
            case fault_kind::instance_cut_off:
                sut.set_instance_cut_off(target, on);
                break;
            case fault_kind::primary_down:
                sut.set_instance_down(primary, on);
                break;
            case fault_kind::primary_cut_off:
                sut.set_instance_cut_off(primary, on);
                break;
            case fault_kind::primary_cut_off_with_host:
                sut.cut_off_together(host, primary);
                break;
            case fault_kind::link_cut:
                sut.cut_link(host, target, on);
                break;
            case fault_kind::host_paused:
                sut.set_host_paused(host, on);
                break;
            case fault_kind::host_cut_off:
                sut.cut_off_host(host, on);
                break;
            case fault_kind::host_restarted:
                sut.restart_host(host);
                break;
            case fault_kind::store_changed:
                sut.set_store(static_cast<store_mode>(mode));
                break;
            case fault_kind::switch_primary:
                sut.switch_primary(host);
                break;
            case fault_kind::healed:
                sut.heal_links();
                break;
            case fault_kind::until_promotion:
                sut.advance_to_promotion(seconds{5});
                break;
        }
    }
};

/// Primaries that follow each other quickly and are cut off just after their promotion, so that
/// entries of several terms compete.
struct succession_step : step {
    succession_step() {
        kind = *rc::gen::element(fault_kind::primary_cut_off, fault_kind::primary_cut_off_with_host,
                                 fault_kind::until_promotion, fault_kind::until_promotion,
                                 fault_kind::instance_cut_off, fault_kind::instance_down);
        on = kind != fault_kind::instance_cut_off && kind != fault_kind::instance_down ? true : on;
        wait = *rc::gen::element(1, 5, 20, 300);
        writes = *rc::gen::inRange(0, 3);
    }
};

template <class Step>
void check_group(int instances, const char* faults) {
    const bool held =
        rc::check(fmt::format("a group of {} keeps its promises under {}", instances, faults), [=] {
            const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
            const auto before = invariant_violations();
            group_model sut{seed, instances};
            sut.advance(seconds{4});
            rc::state::check(schedule{instances}, sut, rc::state::gen::execOneOfWithArgs<Step>());
            sut.heal();
            sut.advance(seconds{20});
            const auto acknowledged = sut.acknowledged();
            sut.write(0);
            sut.advance(seconds{2});
            RC_ASSERT(sut.violations() == std::vector<std::string>{});
            RC_ASSERT(sut.acknowledged() > acknowledged);
            RC_ASSERT(invariant_violations() == before);
        });
    CHECK(held);
}

}  // namespace

// Guards against an acknowledged write that a later primary lacks, two primaries that acknowledge
// at one term, a cancelled key that runs, and a group that stays without a primary.
TEST_CASE("a group of three keeps its promises") { check_group<step>(3, "all faults"); }
TEST_CASE("a group of five keeps its promises") { check_group<step>(5, "all faults"); }
TEST_CASE("a group of three keeps its promises over many terms") {
    check_group<succession_step>(3, "quick successions");
}
