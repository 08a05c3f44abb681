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

// Guards against new work in a drained failure domain, full load right after a return to service, a
// switchover that is missed or started twice, and closing a connection with an open transaction.
TEST_CASE("drains, returns and switchovers follow the rules in any order") {
    int switchovers = 0;
    const bool passed = rc::check("the drain controller follows its rules", [&] {
        auto snapshot = three_domains();
        time_point now{seconds{100}};
        drain_controller controller{failure_domain_id{"fd1"}};
        controller.on_coordinated_groups({group});
        controller.on_snapshot(snapshot, now);
        std::set<instance_id> leaving;
        std::map<instance_id, time_point> avoided_until;
        bool switchover_running = false;
        time_point earliest_next_switchover;
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
                    controller.on_leaving_servers(leaving, now);
                    break;
                case 2:
                    snapshot.groups[group].primary = id;
                    break;
                case 3:
                    if (switchover_running) {
                        controller.on_switchover_ended(group, now);
                        switchover_running = false;
                        earliest_next_switchover = now + seconds{2};
                    }
                    break;
                default:
                    break;
            }
            controller.on_snapshot(snapshot, now);
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
                const auto fraction = controller.load_fraction(each, now);
                const auto since = avoided_until.count(each) > 0 ? now - avoided_until[each]
                                                                 : duration{seconds{1000}};
                const double since_seconds = std::chrono::duration<double>(since).count();
                // A return to service is detected at the next event, so the ramp may start later.
                RC_ASSERT(primary || !out || fraction == 0);
                RC_ASSERT(!primary || fraction == 1);
                RC_ASSERT(out || primary || fraction <= 0.1 + 0.09 * since_seconds + 1e-9 ||
                          fraction == 1.0);
                RC_ASSERT(out || fraction >= 0.1);
                RC_ASSERT(out || since < seconds{13} || fraction == 1);
                RC_ASSERT(out || primary || since >= seconds{10} || fraction < 1);
                RC_ASSERT(controller.accepts_new_work(each, 0.0, now) == (fraction > 0));
                RC_ASSERT(!controller.connection_may_close(each, true, false));
                RC_ASSERT(!controller.connection_may_close(each, false, true));
                RC_ASSERT(controller.connection_may_close(each, false, false) == (out && !primary));
            }
            const bool due = controller.avoided(snapshot.groups[group].primary) && avoided < 3 &&
                             !switchover_running && now >= earliest_next_switchover;
            const auto started = controller.due_switchovers(now);
            RC_ASSERT(started.size() == (due ? 1U : 0U));
            if (due) {
                ++switchovers;
                switchover_running = true;
                RC_ASSERT(started.front().avoided.size() == avoided);
            }
            RC_ASSERT(controller.own_domain_in_service() ==
                      (snapshot.ops.drained_domains.count(failure_domain_id{"fd1"}) == 0));
            now += milliseconds{*rc::gen::inRange(0, 3000)};
        }
    });
    CHECK(passed);
    CHECK(switchovers > 50);
}

// Guards against new work on a drained instance that goes unreported.
TEST_CASE("new work on an instance out of service violates an invariant") {
    auto snapshot = three_domains();
    const time_point now{seconds{100}};
    drain_controller controller{failure_domain_id{"fd1"}};
    snapshot.ops.drained_servers.insert(instance_id{"i2"});
    controller.on_snapshot(snapshot, now);
    const auto before = invariant_violations();
    controller.check_new_work(instance_id{"i1"}, now);
    CHECK(invariant_violations() == before);
    controller.check_new_work(instance_id{"i2"}, now);
    CHECK(invariant_violations() == before + 1);
}
