#include <benchmark/benchmark.h>

#include <random>
#include <span>

#include "exchange_messages.hpp"
#include "masticgrade/process/proof_ages.hpp"

namespace {

using namespace masticgrade;
using namespace masticgrade::benchmarks;

const time_point start = time_point{} + seconds{1000};

/// A member that knows a proof of every other member, none older than 2 s.
struct informed_host {
    explicit informed_host(const members& list, std::size_t position)
        : membership(list.hosts.at(host_at(list, position).id), {}, std::mt19937_64{position},
                     start),
          fresh(host_at(list, position)) {
        fresh.on_snapshot_applied(fleet_version{1000}, list);
        membership.on_list_applied(list, start);
        proof_ages ages;
        for (std::size_t i = 0; i < list.hosts.size(); ++i) {
            ages.emplace_back(milliseconds{i * 37 % 2000});
        }
        fresh.on_exchange_answer({start, host_at(list, 0), fleet_version{1000}, list.version,
                                  milliseconds{500}, pack_ages(ages)},
                                 start);
    }

    class membership membership;
    freshness fresh;
};

peer::envelope reply_message(const members& list, const informed_host& host) {
    return make_envelope(list, host_at(list, 1), make_reply(host.fresh, {.settled = true}, start));
}

std::span<const std::uint8_t> payload(const std::vector<std::uint8_t>& frame) {
    return std::span{frame}.subspan(peer::frame_prefix_size);
}

void encode_reply(benchmark::State& state) {
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    const auto message = reply_message(list, informed_host{list, 1});
    for (auto _ : state) {
        benchmark::DoNotOptimize(peer::encode(message));
    }
    state.counters["frame_bytes"] = static_cast<double>(peer::encode(message).size());
}

void decode_reply(benchmark::State& state) {
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    const auto frame = peer::encode(reply_message(list, informed_host{list, 1}));
    for (auto _ : state) {
        benchmark::DoNotOptimize(peer::decode(payload(frame)));
    }
}

/// The side that asks: encode the request, decode the reply, feed both decision modules.
void ask_exchange(benchmark::State& state) {
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    informed_host host{list, 0};
    const auto frame = peer::encode(reply_message(list, informed_host{list, 1}));
    const auto request =
        make_envelope(list, host_at(list, 0), peer::exchange_request{fleet_version{1000}});
    auto now = start;
    for (auto _ : state) {
        benchmark::DoNotOptimize(peer::encode(request));
        const auto message = peer::decode(payload(frame));
        const auto& reply = std::get<peer::exchange_reply>(message.body);
        const exchange_answer answer{now,
                                     {message.sender, message.incarnation},
                                     reply.version,
                                     message.members_version,
                                     reply.current_age,
                                     reply.ages};
        now += milliseconds{1};
        host.fresh.on_exchange_answer(answer, now);
        host.membership.on_exchange_answer(
            answer, {reply.members_settled, reply.members_applied, reply.unreachable}, now);
        benchmark::DoNotOptimize(host.fresh.may_start_work(now));
    }
    state.counters["request_bytes"] = static_cast<double>(peer::encode(request).size());
}

/// The side that answers: decode the request, build and encode the reply.
void answer_exchange(benchmark::State& state) {
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    informed_host host{list, 1};
    const auto frame = peer::encode(
        make_envelope(list, host_at(list, 0), peer::exchange_request{fleet_version{1000}}));
    for (auto _ : state) {
        const auto message = peer::decode(payload(frame));
        host.fresh.on_version_seen(std::get<peer::exchange_request>(message.body).version);
        host.membership.on_message_received({message.sender, message.incarnation},
                                            message.members_version, start);
        const auto reply = make_reply(host.fresh, host.membership.report(), start);
        benchmark::DoNotOptimize(peer::encode(make_envelope(list, host_at(list, 1), reply)));
    }
}

/// The periodic call of membership, 10 times a second.
void membership_tick(benchmark::State& state) {
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    informed_host host{list, 1};
    for (auto _ : state) {
        benchmark::DoNotOptimize(host.membership.tick(start));
    }
}

void refuse_work(benchmark::State& state) {
    const informed_host host{make_list(static_cast<std::size_t>(state.range(0))), 1};
    for (auto _ : state) {
        benchmark::DoNotOptimize(host.fresh.refuse_work(start));
    }
}

void sizes(benchmark::internal::Benchmark* each) { each->Arg(7)->Arg(50)->Arg(150)->Arg(550); }

BENCHMARK(encode_reply)->Apply(sizes);
BENCHMARK(decode_reply)->Apply(sizes);
BENCHMARK(ask_exchange)->Apply(sizes);
BENCHMARK(answer_exchange)->Apply(sizes);
BENCHMARK(membership_tick)->Apply(sizes);
BENCHMARK(refuse_work)->Apply(sizes);

}  // namespace

BENCHMARK_MAIN();
