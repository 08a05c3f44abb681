#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <vector>

#include "masticgrade/version/key_index.hpp"

using namespace masticgrade;

namespace {

configuration make_config(int customers) {
    configuration config;
    for (int i = 0; i < customers; ++i) {
        const auto name = fmt::format("customer-{}", i);
        config.customers[customer_id{name}].keys = {{key_id{name}, to_key_hash(digest_key(name))}};
    }
    return config;
}

void find_key(benchmark::State& state) {
    const auto customers = static_cast<int>(state.range(0));
    const key_index index{make_config(customers), {}};
    std::vector<key_digest> digests;
    digests.reserve(static_cast<std::size_t>(customers));
    for (int i = 0; i < customers; ++i) {
        digests.push_back(digest_key(fmt::format("customer-{}", i)));
    }
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.find(digests[next]));
        next = (next + 7919) % digests.size();
    }
}
BENCHMARK(find_key)->Arg(8)->Arg(1000)->Arg(100000);

void hash_key(benchmark::State& state) {
    const std::string key(43, 'a');
    for (auto _ : state) {
        benchmark::DoNotOptimize(digest_key(key));
    }
}
BENCHMARK(hash_key);

void build_index(benchmark::State& state) {
    const auto config = make_config(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(key_index{config, {}});
    }
}
BENCHMARK(build_index)->Arg(1000)->Unit(benchmark::kMicrosecond);

}  // namespace
