#include "drain_runtime.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <string>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"drain"};

/// 550 hosts that poll every 2 s cause 275 of the 2,000 reads per second that the store serves.
constexpr milliseconds host_list_interval{2000};
constexpr milliseconds host_list_timeout{1500};

}  // namespace

drain_runtime::drain_runtime(dependencies deps)
    : dependencies_(std::move(deps)), drain_(dependencies_.own_domain) {}

void drain_runtime::on_snapshot(const fleet_snapshot& snapshot) {
    const std::scoped_lock lock{mutex_};
    drain_.on_snapshot(snapshot, steady_clock::now());
}

void drain_runtime::on_switchover_ended(const group_id& group) {
    const std::scoped_lock lock{mutex_};
    drain_.on_switchover_ended(group, steady_clock::now());
}

bool drain_runtime::own_domain_in_service() const {
    const std::scoped_lock lock{mutex_};
    return drain_.own_domain_in_service();
}

void drain_runtime::tick(time_point) {
    auto coordinated = dependencies_.coordinated_groups();
    std::vector<start_switchover> due;
    std::map<instance_id, double> shares;
    const auto groups = dependencies_.fleet->groups();
    {
        const std::scoped_lock lock{mutex_};
        const auto now = steady_clock::now();
        drain_.on_coordinated_groups(std::move(coordinated));
        due = drain_.due_switchovers(now);
        for (const auto& group : groups) {
            for (const auto& instance : group->config().instances) {
                shares[instance.id] = drain_.load_fraction(instance.id, now);
            }
        }
    }
    for (const auto& group : groups) {
        group->set_new_work_shares(shares);
    }
    for (const auto& action : due) {
        if (!dependencies_.begin_switchover(action)) {
            on_switchover_ended(action.group);
        }
    }
}

asio::awaitable<void> drain_runtime::watch_hosts() {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        try {
            apply_host_list(
                co_await dependencies_.store->list_hosts(steady_clock::now() + host_list_timeout));
        } catch (const error& failure) {
            // The list is advisory: the last one read stays in force.
            log.debug("Reading the host list failed reason=\"{}\".", failure.what());
        }
        timer.expires_after(host_list_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// The platform identifies a backend server by the id or the address of its instance.
void drain_runtime::apply_host_list(const std::vector<platform_host>& hosts) {
    std::set<std::string> leaving_names;
    for (const auto& host : hosts) {
        if (host.is_backend_server && host.leaving) {
            leaving_names.insert(host.id);
            leaving_names.insert(host.address.str());
        }
    }
    std::set<instance_id> leaving;
    const auto snapshot = dependencies_.fleet->snapshot();
    for (const auto& [name, group] : snapshot->config.groups) {
        for (const auto& instance : group.instances) {
            if (leaving_names.contains(instance.id.str()) ||
                leaving_names.contains(instance.address.str())) {
                leaving.insert(instance.id);
            }
        }
    }
    {
        const std::scoped_lock lock{mutex_};
        drain_.on_leaving_servers(leaving, steady_clock::now());
    }
    dependencies_.fleet->set_leaving(std::move(leaving));
}

}  // namespace masticgrade
