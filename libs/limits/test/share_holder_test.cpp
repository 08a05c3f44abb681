#include "masticgrade/limits/share_holder.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "masticgrade/version/snapshot_builder.hpp"

using namespace masticgrade;

namespace {

fleet_snapshot_ptr make_snapshot(std::uint64_t version, const std::vector<std::string>& names) {
    fleet_snapshot snapshot;
    snapshot.version = fleet_version{version};
    snapshot.config_version = fleet_version{1};
    snapshot.hosts.version = fleet_version{version};
    for (const auto& name : names) {
        const host_id id{name};
        snapshot.hosts.hosts[id] = {id, {}, {}, incarnation_number{7}};
    }
    customer_config customer;
    customer.name = customer_id{"parish"};
    customer.rate = 100;
    customer.burst = 100;
    snapshot.config.customers[customer.name] = customer;
    return finalize_snapshot(std::move(snapshot));
}

std::size_t count_reports(const share_actions& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](const share_action& action) {
            const auto* message = std::get_if<send_message>(&action);
            return message != nullptr &&
                   std::holds_alternative<share_report>(message->envelope.body);
        }));
}

}  // namespace

// Guards against a process that joins long after its start and then never reports its demand, so
// that owners assign it no share: hosts that joined 2 s after their start refused 14% of the
// statements within the rate.
TEST_CASE("a process that joins long after its start reports its demand") {
    const customer_id customer{"parish"};
    time_point now{seconds{100}};
    share_holder holder{{host_id{"late"}, incarnation_number{7}}, {}, now};
    share_actions actions;
    holder.on_snapshot(make_snapshot(1, {"other"}), now, actions);
    for (int round = 0; round < 20; ++round) {
        now += milliseconds{500};
        holder.on_timer(now, actions);
    }
    actions.clear();
    holder.on_snapshot(make_snapshot(2, {"late", "other"}), now, actions);
    holder.on_freshness(now + seconds{3});
    for (int round = 0; round < 4; ++round) {
        holder.admit(customer, now + seconds{1}, now, actions);
        now += milliseconds{500};
        holder.on_timer(now, actions);
    }
    CHECK(count_reports(actions) >= 3);
}
