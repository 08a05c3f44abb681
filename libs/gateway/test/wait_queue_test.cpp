#include "masticgrade/gateway/wait_queue.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr time_point start = time_point{} + seconds(100);

waiter make_waiter(const char* customer, milliseconds deadline, unsigned priority = 1) {
    waiter item;
    item.customer = customer_id{customer};
    item.needs_primary = true;
    item.deadline = start + deadline;
    item.latest_start = start + deadline / 2;
    item.priority = priority;
    item.enqueued_at = start;
    return item;
}

}  // namespace

TEST_CASE("the customer with the fewest operations in flight is served first") {
    wait_queue queue;
    const auto heavy = queue.add(make_waiter("heavy", milliseconds{100}));
    const auto small = queue.add(make_waiter("small", milliseconds{400}));
    const auto order = queue.order(start, {{customer_id{"heavy"}, 9}, {customer_id{"small"}, 1}});
    CHECK(order == std::vector{small, heavy});
}

TEST_CASE("operations that can meet their latency objective precede those that cannot") {
    wait_queue queue;
    const auto late = queue.add(make_waiter("a", milliseconds{100}));
    const auto in_time = queue.add(make_waiter("b", milliseconds{400}));
    CHECK(queue.order(start + milliseconds{60}, {}) == std::vector{in_time, late});
    CHECK(queue.order(start, {}) == std::vector{late, in_time});
}

TEST_CASE("operations of equally loaded customers are ordered by priority and deadline") {
    wait_queue queue;
    const auto low = queue.add(make_waiter("a", milliseconds{100}, 2));
    const auto second = queue.add(make_waiter("a", milliseconds{300}, 1));
    const auto first = queue.add(make_waiter("a", milliseconds{200}, 1));
    CHECK(queue.order(start, {}) == std::vector{first, second, low});
    queue.remove(second);
    CHECK(queue.order(start, {}) == std::vector{first, low});
}

// More operations arrive than an instance can complete before their deadlines.
TEST_CASE("an operation that would reach its deadline in the queue is detected on arrival") {
    wait_queue queue;
    constexpr double releases_per_second = 10;
    const auto item = make_waiter("a", milliseconds{400});
    int accepted = 0;
    while (queue.can_be_served_in_time(item, start, releases_per_second) && accepted < 100) {
        queue.add(item);
        ++accepted;
    }
    CHECK(accepted == 4);
    CHECK(queue.can_be_served_in_time(make_waiter("b", milliseconds{400}, 0), start,
                                      releases_per_second));
}

// A long queue for one instance must not cause refusals for another.
TEST_CASE("only operations for the same instance count as queued ahead") {
    wait_queue queue;
    auto item = make_waiter("a", milliseconds{100});
    item.instance = instance_id{"busy"};
    for (int i = 0; i < 10; ++i) {
        queue.add(item);
    }
    CHECK_FALSE(queue.can_be_served_in_time(item, start, 10));
    item.instance = instance_id{"idle"};
    CHECK(queue.can_be_served_in_time(item, start, 10));
    CHECK(queue.has_waiter_for(instance_id{"busy"}, false));
    CHECK_FALSE(queue.has_waiter_for(instance_id{"idle"}, true));
}

TEST_CASE("an operation that has waited since a given time is reported") {
    wait_queue queue;
    queue.add(make_waiter("a", milliseconds{400}));
    CHECK(queue.has_waited_since(start));
    CHECK_FALSE(queue.has_waited_since(start - milliseconds{1}));
}
