#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <memory>
#include <vector>

#include "masticgrade/connection/connection_pool.hpp"
#include "masticgrade/version/key_index.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

using namespace masticgrade;

namespace {

/// Returns a configuration in which each group has 3 instances, one route and one customer with one
/// key.
configuration make_config(std::size_t count) {
    configuration config;
    for (std::size_t i = 0; i < count; ++i) {
        const group_id group{fmt::format("group-{:05}", i)};
        const route_id route{fmt::format("route-{:05}", i)};
        const customer_id customer{fmt::format("customer-{:05}", i)};
        auto& entry = config.groups[group];
        entry = {group, {}, 30, 3};
        for (int k = 0; k < 3; ++k) {
            entry.instances.push_back(
                {instance_id{fmt::format("group-{:05}-{}", i, k)},
                 endpoint_address{fmt::format("10.{}.{}.{}:5432", k, i / 250, i % 250)},
                 failure_domain_id{fmt::format("domain-{}", (i + k) % 7)}});
        }
        config.routes[route] = {route, group, false};
        config.customers[customer] = {
            customer,
            100,
            100,
            {route},
            {{key_id{fmt::format("key-{:05}", i)}, to_key_hash(digest_key(customer.str()))}}};
    }
    return config;
}

std::string mark() { return std::string(32, 'a'); }

table_row make_config_row(std::size_t count, std::uint64_t version) {
    config_row row;
    row.document = make_config(count);
    row.operator_name = "operator";
    return {std::string{config_row_key}, fleet_version{version}, encode_config_row(row, mark())};
}

table_row make_group_row(std::size_t group, std::uint64_t version) {
    group_record record;
    record.term = term_number{1};
    record.primary = instance_id{fmt::format("group-{:05}-0", group)};
    record.coordinator = host_id{"proxy-0001"};
    return {group_row_key(group_id{fmt::format("group-{:05}", group)}), fleet_version{version},
            encode_group_row(record, mark())};
}

std::vector<table_row> make_rows(std::size_t count) {
    std::vector<table_row> rows{make_config_row(count, 1)};
    for (std::size_t i = 0; i < count; ++i) {
        rows.push_back(make_group_row(i, 2 + i));
    }
    return rows;
}

/// Applies a new configuration document with the given number of groups and customers.
void apply_config_row(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto current = apply_rows(nullptr, make_rows(count)).snapshot;
    const auto row = make_config_row(count, 1'000'000);
    for (auto _ : state) {
        benchmark::DoNotOptimize(apply_rows(current, {row}));
    }
    state.counters["row_bytes"] = static_cast<double>(row.value.size());
}

/// Applies one changed group row, as after a promotion.
void apply_group_row(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto current = apply_rows(nullptr, make_rows(count)).snapshot;
    const auto row = make_group_row(0, 1'000'000);
    for (auto _ : state) {
        benchmark::DoNotOptimize(apply_rows(current, {row}));
    }
    state.counters["row_bytes"] = static_cast<double>(row.value.size());
}

/// Measures the heap size of one snapshot, including allocator overhead.
void snapshot_memory(benchmark::State& state) {
    const auto rows = make_rows(static_cast<std::size_t>(state.range(0)));
    double bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        const auto snapshot = apply_rows(nullptr, rows).snapshot;
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = bytes;
}

/// Measures the heap size of one pool per instance, and the time to acquire and release one
/// connection of each.
void pools(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const customer_id customer{"customer"};
    const time_point now{seconds{1000}};
    const auto before = mallinfo2().uordblks;
    std::vector<std::unique_ptr<connection_pool>> all_pools;
    for (std::size_t i = 0; i < count; ++i) {
        all_pools.push_back(std::make_unique<connection_pool>(pool_settings{}));
        auto& pool = *all_pools.back();
        for (const auto& action : pool.acquire(waiter_number{1}, customer, now + seconds{5}, now)) {
            if (const auto* open = std::get_if<open_connection>(&action)) {
                pool.on_opened(open->connection, now);
                pool.release(open->connection, true, now);
            }
        }
    }
    std::uint64_t waiter = 1;
    std::size_t granted = 0;
    for (auto _ : state) {
        for (auto& pool : all_pools) {
            for (const auto& action :
                 pool->acquire(waiter_number{++waiter}, customer, now + seconds{5}, now)) {
                if (const auto* grant = std::get_if<grant_connection>(&action)) {
                    pool->release(grant->connection, true, now);
                    ++granted;
                }
            }
        }
    }
    state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
    state.counters["granted"] =
        static_cast<double>(granted) / static_cast<double>(state.iterations() * count);
}

void set_group_counts(benchmark::internal::Benchmark* registration) {
    registration->Arg(50)->Arg(200)->Arg(425)->Arg(850)->Arg(1700)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(apply_config_row)->Apply(set_group_counts);
BENCHMARK(apply_group_row)->Apply(set_group_counts);
BENCHMARK(snapshot_memory)->Apply(set_group_counts)->Iterations(3);
BENCHMARK(pools)->Apply(set_group_counts);

}  // namespace
