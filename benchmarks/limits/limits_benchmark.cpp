#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <memory>
#include <vector>

#include "masticgrade/limits/rate_shares.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
#include "masticgrade/request/fair_queue.hpp"
#include "masticgrade/version/rendezvous.hpp"

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(1000);

host_id host_name(std::int64_t host) { return host_id{fmt::format("host-{}", host)}; }
customer_id customer_name(std::int64_t customer) {
    return customer_id{fmt::format("customer-{}", customer)};
}

/// Names of `count` customers that the first of `hosts` hosts owns.
std::vector<customer_id> owned_names(std::int64_t hosts, std::int64_t count) {
    members list;
    for (std::int64_t host = 0; host < hosts; ++host) {
        list.hosts[host_name(host)] = {};
        list.hosts[host_name(host)].id = host_name(host);
    }
    std::vector<customer_id> names;
    for (std::int64_t candidate = 0; static_cast<std::int64_t>(names.size()) < count; ++candidate) {
        if (rank_hosts(list, customer_name(candidate).str(), 1).front() == host_name(0)) {
            names.push_back(customer_name(candidate));
        }
    }
    return names;
}

std::vector<customer_id> first_names(std::int64_t count) {
    std::vector<customer_id> names;
    for (std::int64_t customer = 0; customer < count; ++customer) {
        names.push_back(customer_name(customer));
    }
    return names;
}

fleet_snapshot_ptr make_snapshot(std::int64_t hosts, const std::vector<customer_id>& customers) {
    fleet_snapshot snapshot;
    snapshot.version = fleet_version{1};
    snapshot.hosts.version = fleet_version{1};
    for (std::int64_t host = 0; host < hosts; ++host) {
        const auto id = host_name(host);
        snapshot.hosts.hosts[id] = {id, endpoint_address{}, failure_domain_id{},
                                    incarnation_number{1}};
    }
    for (const auto& id : customers) {
        snapshot.config.customers[id] = {id, 1e6, 1e6, {}, {}};
    }
    return std::make_shared<const fleet_snapshot>(std::move(snapshot));
}

/// An owner with an entry for each member in the ledger of every customer and a report from each
/// member, in the state before a rebalancing round.
struct loaded_owner {
    explicit loaded_owner(std::int64_t hosts, std::int64_t customers)
        : names(owned_names(hosts, customers)),
          snapshot(make_snapshot(1, names)),
          owner({host_name(0), incarnation_number{1}}, {}, start) {
        share_actions actions;
        owner.on_freshness(start + std::chrono::hours(1));
        owner.on_snapshot(snapshot, start, actions);
        answer(0, snapshot->version);
        now += seconds(4);
        owner.on_timer(now, actions);
        // Members that join after the ledger is complete hold no shares and only report demand.
        auto extended = *snapshot;
        extended.version = extended.hosts.version = fleet_version{2};
        for (std::int64_t host = 1; host < hosts; ++host) {
            extended.hosts.hosts[host_name(host)] = {
                host_name(host), {}, {}, incarnation_number{1}};
        }
        owner.on_snapshot(std::make_shared<const fleet_snapshot>(std::move(extended)), now,
                          actions);
        report(hosts);
    }

    void answer(std::int64_t host, fleet_version ownership) {
        share_report report;
        for (const auto& customer : names) {
            report.shares.push_back({customer, ownership, {}, 10});
        }
        deliver(host, std::move(report));
    }

    void report(std::int64_t hosts) {
        for (std::int64_t host = 0; host < hosts; ++host) {
            answer(host, fleet_version{});
        }
    }

    void deliver(std::int64_t host, share_message body) {
        share_actions actions;
        owner.on_message({host_name(host), incarnation_number{1}, host_name(0),
                          incarnation_number{1}, fleet_version{2}, std::move(body)},
                         now, actions);
        acknowledge(actions);
    }

    void acknowledge(const share_actions& actions) {
        for (const auto& action : actions) {
            const auto* message = std::get_if<send_message>(&action);
            const auto* assignment = message == nullptr
                                         ? nullptr
                                         : std::get_if<share_assignment>(&message->envelope.body);
            if (assignment == nullptr) {
                continue;
            }
            share_ack ack;
            for (const auto& share : assignment->shares) {
                ack.shares.push_back({share.customer, share.ownership, share.sequence, 0});
            }
            auto reply = message->envelope;
            std::swap(reply.sender, reply.recipient);
            reply.body = std::move(ack);
            share_actions replies;
            owner.on_message(reply, now, replies);
        }
    }

    std::vector<customer_id> names;
    fleet_snapshot_ptr snapshot;
    time_point now = start;
    share_owner owner;
};

/// A limiter that has heard from `peers` other hosts, with eight active customers on each.
class reporting_fleet {
public:
    explicit reporting_fleet(std::int64_t peers) : peers_(peers) {
        std::map<customer_id, rate_limit> limits;
        for (const auto& name : first_names(190)) {
            limits[name] = {1000, 1000};
        }
        limiter.configure(limits, now);
        report_all();
    }

    void report_all() {
        now += milliseconds(250);
        uptime_ += milliseconds(250);
        for (std::int64_t peer = 0; peer < peers_; ++peer) {
            usage_report report;
            report.uptime = uptime_;
            for (std::int64_t i = 0; i < 8; ++i) {
                report.usage.push_back({customer_name((peer * 7 + i) % 190), 1, 1, 1});
            }
            limiter.on_report(host_name(peer), incarnation_number{1}, report, now);
        }
    }

    boot_time now = boot_time{} + seconds(1000);
    usage_limiter limiter{now};

private:
    std::int64_t peers_;
    milliseconds uptime_{0};
};

void usage_admission(benchmark::State& state) {
    reporting_fleet fleet{state.range(0)};
    const auto customer = customer_name(3);
    for (auto _ : state) {
        fleet.now += std::chrono::microseconds(1);
        benchmark::DoNotOptimize(fleet.limiter.admit(customer, fleet.now));
    }
}
BENCHMARK(usage_admission)->Arg(7)->Arg(67)->Arg(294)->Arg(548)->Iterations(200000);

/// One round of reports of all peers.
void usage_reports_round(benchmark::State& state) {
    reporting_fleet fleet{state.range(0)};
    for (auto _ : state) {
        fleet.report_all();
    }
    state.counters["us_per_report"] = benchmark::Counter(
        static_cast<double>(state.range(0)) * 1e-6,
        benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(usage_reports_round)->Arg(7)->Arg(67)->Arg(294)->Arg(548);

}  // namespace

/// Admission of one statement from the local share, for different numbers of customers.
void admission_check(benchmark::State& state) {
    const auto names = first_names(state.range(0));
    share_settings settings;
    settings.mode = share_mode::static_split;
    share_holder holder({host_name(0), incarnation_number{1}}, settings, start);
    share_actions actions;
    holder.on_freshness(start + std::chrono::hours(100));
    holder.on_snapshot(make_snapshot(1, names), start, actions);
    for (const auto& name : names) {
        holder.admit(name, start + seconds(5), start, actions);
    }
    auto now = start + seconds(10);
    std::size_t next = 0;
    std::int64_t admitted_count = 0;
    for (auto _ : state) {
        now += microseconds(2);
        const auto result = holder.admit(names[next], now + seconds(5), now, actions);
        admitted_count += std::holds_alternative<admitted>(result);
        next = next + 1 == names.size() ? 0 : next + 1;
    }
    state.counters["admitted"] =
        static_cast<double>(admitted_count) / static_cast<double>(state.iterations());
}
BENCHMARK(admission_check)->Arg(8)->Arg(64)->Arg(512)->Arg(4096);

/// One rebalancing round of an owner: the reports of all members and the timer.
void owner_round(benchmark::State& state) {
    const auto hosts = state.range(0);
    const auto customers = state.range(1);
    loaded_owner loaded(hosts, customers);
    for (auto _ : state) {
        loaded.now += milliseconds(500);
        loaded.report(hosts);
        share_actions actions;
        loaded.owner.on_timer(loaded.now, actions);
        loaded.acknowledge(actions);
    }
    state.counters["us_per_customer"] = benchmark::Counter(
        static_cast<double>(customers) * 1e-6,
        benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
    state.counters["complete"] = loaded.owner.is_complete(loaded.names.front()) ? 1 : 0;
}
BENCHMARK(owner_round)
    ->Args({7, 8})
    ->Args({7, 64})
    ->Args({35, 8})
    ->Args({140, 8})
    ->Args({550, 8})
    ->Args({550, 32});

/// Applies a new members list, for which the owner recomputes the customers that it owns.
void members_change(benchmark::State& state) {
    auto snapshot = *make_snapshot(state.range(0), first_names(state.range(1)));
    share_owner owner({host_name(0), incarnation_number{1}}, {}, start);
    share_actions actions;
    for (auto _ : state) {
        snapshot.version = snapshot.hosts.version = snapshot.version.next();
        owner.on_snapshot(std::make_shared<const fleet_snapshot>(snapshot), start, actions);
        actions.clear();
    }
}
BENCHMARK(members_change)->Args({7, 64})->Args({35, 64})->Args({140, 64})->Args({550, 64});

/// Memory per customer in an owner with a ledger entry for every member, and in a holder.
void memory_per_customer(benchmark::State& state) {
    const auto hosts = state.range(0);
    constexpr std::int64_t customers = 8;
    constexpr std::int64_t holder_customers = 512;
    double owner_bytes = 0;
    double holder_bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        auto loaded = std::make_unique<loaded_owner>(hosts, customers);
        const auto with_owner = mallinfo2().uordblks;
        const auto names = first_names(holder_customers);
        const auto snapshot = make_snapshot(1, names);
        share_holder holder({host_name(0), incarnation_number{1}}, {}, start);
        share_actions actions;
        holder.on_freshness(start + seconds(10));
        holder.on_snapshot(snapshot, start, actions);
        const auto empty_holder = mallinfo2().uordblks;
        for (const auto& name : names) {
            holder.admit(name, start, start, actions);
        }
        const auto with_holder = mallinfo2().uordblks;
        owner_bytes = static_cast<double>(with_owner - before) / customers;
        holder_bytes = static_cast<double>(with_holder - empty_holder) / holder_customers;
    }
    state.counters["owner_bytes"] = owner_bytes;
    state.counters["holder_bytes"] = holder_bytes;
}
BENCHMARK(memory_per_customer)->Arg(7)->Arg(35)->Arg(140)->Arg(550)->Iterations(1);

/// One push and one pop of a queue with entries of different numbers of customers.
void fair_queue_step(benchmark::State& state) {
    const auto customers = state.range(0);
    fair_queue<std::int64_t> queue;
    std::vector<customer_id> names;
    for (std::int64_t customer = 0; customer < customers; ++customer) {
        names.push_back(customer_name(customer));
        for (int count = 0; count < 4; ++count) {
            queue.push(names.back(), customer, start + seconds(5), start);
        }
    }
    for (auto _ : state) {
        const auto taken = queue.pop(start);
        queue.push(names[*taken.next], *taken.next, start + seconds(5), start);
    }
}
BENCHMARK(fair_queue_step)->Arg(1)->Arg(8)->Arg(32)->Arg(100);
