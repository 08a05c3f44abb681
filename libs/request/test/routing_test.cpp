#include "masticgrade/request/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace masticgrade;

namespace {

group_record active_record(std::uint64_t term, std::uint64_t start) {
    group_record record;
    record.term = term_number{term};
    record.primary = instance_id{"i0"};
    record.start_position = log_position{start};
    return record;
}

instance_view view(const std::string& id, std::uint64_t term, std::uint64_t applied) {
    instance_view instance;
    instance.id = instance_id{id};
    instance.reachable = true;
    instance.term = term_number{term};
    instance.applied = log_position{applied};
    instance.staleness = milliseconds{10};
    return instance;
}

}  // namespace

// Guards against a stale read after the session wrote through another proxy.
TEST_CASE("a replica behind the session is never chosen") {
    CHECK(rc::check([] {
        const auto term = *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto start = *rc::gen::inRange<std::uint64_t>(1, 50);
        const auto record = active_record(term, start);
        std::vector<instance_view> instances{view("i0", term, 100)};
        for (int i = 1; i < 4; ++i) {
            auto instance = view("i" + std::to_string(i), *rc::gen::inRange<std::uint64_t>(1, 4),
                                 *rc::gen::inRange<std::uint64_t>(0, 100));
            instance.reachable = *rc::gen::arbitrary<bool>();
            instance.draining = *rc::gen::arbitrary<bool>();
            instances.push_back(instance);
        }
        read_request request;
        request.freshness = session_read{};
        request.session = session_position{term_number{*rc::gen::inRange<std::uint64_t>(1, 4)},
                                           log_position{*rc::gen::inRange<std::uint64_t>(0, 100)}};
        const auto decision = select_read_target(request, record, instances);
        if (request.session->term > record.term) {
            RC_ASSERT(std::get<routing_refusal>(decision) ==
                      routing_refusal::group_record_outdated);
            return;
        }
        const auto target = std::get<read_target>(decision);
        if (!target.is_replica) {
            return;
        }
        const auto& chosen = instances[target.instance];
        RC_ASSERT(chosen.term == record.term);
        RC_ASSERT(chosen.reachable);
        RC_ASSERT(!chosen.draining);
        const auto expected = request.session->term == record.term
                                  ? request.session->position
                                  : std::min(request.session->position, record.start_position);
        RC_ASSERT(chosen.applied >= expected);
        RC_ASSERT(target.min_position == expected);
    }));
}

// Guards against stale data for callers that require current data.
TEST_CASE("a strong read goes to the primary") {
    const auto record = active_record(1, 1);
    const auto decision =
        select_read_target({}, record, {view("i0", 1, 5), view("i1", 1, 5), view("i2", 1, 5)});
    CHECK(std::get<read_target>(decision).instance == 0);
}

// Guards against reads of data older than the caller allows.
TEST_CASE("a replica whose staleness is unknown or above the limit is not chosen") {
    const auto record = active_record(1, 1);
    auto old = view("i1", 1, 5);
    old.staleness = milliseconds{501};
    auto unknown_age = view("i2", 1, 5);
    unknown_age.staleness.reset();
    read_request request;
    request.freshness = bounded_staleness{milliseconds{500}};
    const auto decision = select_read_target(request, record, {view("i0", 1, 5), old, unknown_age});
    CHECK_FALSE(std::get<read_target>(decision).is_replica);
}

// Guards against sending all reads to one replica.
TEST_CASE("the least loaded replica is chosen, preferring the own failure domain between equals") {
    const auto record = active_record(1, 1);
    std::vector<instance_view> instances{view("i0", 1, 5), view("i1", 1, 5), view("i2", 1, 5)};
    instances[2].failure_domain = failure_domain_id{"falun"};
    read_request request;
    request.freshness = session_read{};
    request.own_domain = failure_domain_id{"falun"};
    CHECK(std::get<read_target>(select_read_target(request, record, instances)).instance == 2);
    instances[2].outstanding = 1;
    CHECK(std::get<read_target>(select_read_target(request, record, instances)).instance == 1);
}
