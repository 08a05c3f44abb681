#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "masticgrade/request/routing.hpp"
#include "masticgrade/request/session_token.hpp"

using namespace masticgrade;

namespace {

void route_read(benchmark::State& state) {
    group_record record;
    record.term = term_number{2};
    record.primary = instance_id{"i0"};
    record.start_position = log_position{10};
    std::vector<instance_view> instances;
    for (int i = 0; i < state.range(0); ++i) {
        instance_view view;
        view.id = instance_id{fmt::format("i{}", i)};
        view.reachable = true;
        view.term = record.term;
        view.applied = log_position{100};
        view.staleness = milliseconds{5};
        instances.push_back(view);
    }
    read_request request;
    request.freshness = session_read{};
    request.session = session_position{term_number{1}, log_position{90}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(select_read_target(request, record, instances));
    }
}
BENCHMARK(route_read)->Arg(3)->Arg(5)->Arg(9)->Arg(17);

void decode_token(benchmark::State& state) {
    const session_codec codec{{"a-secret-of-sixteen-bytes"}};
    session value;
    value.customer = customer_id{"parish"};
    for (int i = 0; i < state.range(0); ++i) {
        value.advance(group_id{fmt::format("group-{}", i)}, {term_number{3}, log_position{12345}});
    }
    const auto token = codec.encode(value);
    for (auto _ : state) {
        benchmark::DoNotOptimize(codec.decode(token, value.customer));
    }
}
BENCHMARK(decode_token)->Arg(1)->Arg(3)->Arg(10)->Arg(30);

}  // namespace
