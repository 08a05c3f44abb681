#include "masticgrade/failover/drain_controller.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "masticgrade/base/invariant.hpp"

using namespace masticgrade;

namespace {

const group_id group{"ledger"};

fleet_snapshot three_domains() {
    fleet_snapshot snapshot;
    auto& config = snapshot.config.groups[group];
    config.name = group;
    for (int i = 0; i < 3; ++i) {
        config.instances.push_back({instance_id{fmt::format("i{}", i)}, endpoint_address{},
                                    failure_domain_id{fmt::format("fd{}", i)}});
    }
    snapshot.groups[group].term = term_number{1};
    snapshot.groups[group].primary = instance_id{"i0"};
    return snapshot;
}

const instance_id& instance_at(const fleet_snapshot& snapshot, int index) {
    return snapshot.config.groups.at(group).instances[static_cast<std::size_t>(index)].id;
}

void toggle(std::set<failure_domain_id>& domains, int index) {
    const failure_domain_id domain{fmt::format("fd{}", index)};
    if (domains.erase(domain) == 0) {
        domains.insert(domain);
    }
}

}  // namespace

// Guards against new work in a drained domain, a return at full load, a switch that is missed or
// started twice, and connections closed under an open transaction.
TEST_CASE("drains, returns and switches follow the rules in any order") {
    int switches = 0;
    const bool held = rc::check("drain follows its rules", [&] {
        auto snapshot = three_domains();
        time_point now{seconds{100}};
        drain_controller decisions{failure_domain_id{"fd1"}};
        decisions.on_coordinated_groups({group});
        decisions.on_snapshot(snapshot, now);
        std::set<instance_id> leaving;
        std::map<instance_id, time_point> avoided_until;
        bool switch_running = false;
        time_point next_switch;
        for (int i = 0; i < 60; ++i) {
            const int target = *rc::gen::inRange(0, 3);
            const auto& id = instance_at(snapshot, target);
            switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    toggle(snapshot.ops.drained_domains, target);
                    break;
                case 1:
                    if (leaving.erase(id) == 0) {
                        leaving.insert(id);
                    }
                    decisions.on_leaving_servers(leaving, now);
                    break;
                case 2:
                    snapshot.groups[group].primary = id;
                    break;
                case 3:
                    if (switch_running) {
                        decisions.on_switchover_ended(group, now);
                        switch_running = false;
                        next_switch = now + seconds{2};
                    }
                    break;
                default:
                    break;
            }
            decisions.on_snapshot(snapshot, now);
            std::size_t avoided = 0;
            for (int k = 0; k < 3; ++k) {
                const auto& each = instance_at(snapshot, k);
                const bool out = snapshot.ops.drained_domains.count(
                                     failure_domain_id{fmt::format("fd{}", k)}) > 0 ||
                                 leaving.count(each) > 0;
                const bool primary = snapshot.groups[group].primary == each;
                avoided += out ? 1 : 0;
                if (out) {
                    avoided_until[each] = now;
                }
                const auto share = decisions.load_fraction(each, now);
                const auto since = avoided_until.count(each) > 0 ? now - avoided_until[each]
                                                                 : duration{seconds{1000}};
                const double since_seconds = std::chrono::duration<double>(since).count();
                // A return is only seen at the next event, so the ramp_duration may start a little
                // later.
                RC_ASSERT(primary || !out || share == 0);
                RC_ASSERT(!primary || share == 1);
                RC_ASSERT(out || primary || share <= 0.1 + 0.09 * since_seconds + 1e-9 ||
                          share == 1.0);
                RC_ASSERT(out || share >= 0.1);
                RC_ASSERT(out || since < seconds{13} || share == 1);
                RC_ASSERT(out || primary || since >= seconds{10} || share < 1);
                RC_ASSERT(decisions.accepts_new_work(each, 0.0, now) == (share > 0));
                RC_ASSERT(!decisions.connection_may_close(each, true, false));
                RC_ASSERT(!decisions.connection_may_close(each, false, true));
                RC_ASSERT(decisions.connection_may_close(each, false, false) == (out && !primary));
            }
            const bool due = decisions.avoided(snapshot.groups[group].primary) && avoided < 3 &&
                             !switch_running && now >= next_switch;
            const auto started = decisions.due_switchovers(now);
            RC_ASSERT(started.size() == (due ? 1U : 0U));
            if (due) {
                ++switches;
                switch_running = true;
                RC_ASSERT(started.front().avoided.size() == avoided);
            }
            RC_ASSERT(decisions.own_domain_in_service() ==
                      (snapshot.ops.drained_domains.count(failure_domain_id{"fd1"}) == 0));
            now += milliseconds{*rc::gen::inRange(0, 3000)};
        }
    });
    CHECK(held);
    CHECK(switches > 50);
}

// Guards against new work that reaches a drained instance without a trace.
TEST_CASE("new work on an instance out of service violates an invariant") {
    auto snapshot = three_domains();
    const time_point now{seconds{100}};
    drain_controller decisions{failure_domain_id{"fd1"}};
    snapshot.ops.drained_servers.insert(instance_id{"i2"});
    decisions.on_snapshot(snapshot, now);
    const auto before = invariant_violations();
    decisions.check_new_work(instance_id{"i1"}, now);
    CHECK(invariant_violations() == before);
    decisions.check_new_work(instance_id{"i2"}, now);
    CHECK(invariant_violations() == before + 1);
}
