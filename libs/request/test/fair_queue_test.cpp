#include "masticgrade/request/fair_queue.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace masticgrade;

namespace {

struct ticket {
    int customer = 0;
    int number = 0;
};
using queue = fair_queue<ticket>;

constexpr time_point start{};
constexpr time_point far_deadline = start + seconds(1000);

customer_id name_of(int customer) { return customer_id{fmt::format("customer-{}", customer)}; }

bool is_pushed(const std::variant<queue::push_result, queue_refusal>& result) {
    return std::holds_alternative<queue::push_result>(result);
}

/// Runs a schedule in which customer 0 sends five times as often as each other customer. Returns
/// the maximum number of pops that an entry of another customer waited beyond one round for itself
/// and for each of its customer's entries queued before it.
int max_wait_beyond_rounds(queue_discipline discipline, const std::vector<int>& arrivals,
                           int customers) {
    queue entries({discipline, 64, 512});
    std::map<int, std::pair<int, int>> allowed;
    int pops = 0;
    int number = 0;
    int max_wait = 0;
    for (const auto arrival : arrivals) {
        const auto customer = arrival % (customers + 4) < 5 ? 0 : arrival % (customers + 4) - 4;
        const auto ahead = static_cast<int>(entries.size_of(name_of(customer)));
        if (is_pushed(entries.push(name_of(customer), {customer, number}, far_deadline, start))) {
            allowed[number] = {pops, (ahead + 1) * customers};
        }
        ++number;
        if (arrival % 3 == 0) {
            if (const auto next = entries.pop(start).next) {
                ++pops;
                const auto [since, limit] = allowed.at(next->number);
                if (next->customer != 0) {
                    max_wait = std::max(max_wait, pops - since - limit);
                }
            }
        }
    }
    while (const auto next = entries.pop(start).next) {
        ++pops;
        const auto [since, limit] = allowed.at(next->number);
        if (next->customer != 0) {
            max_wait = std::max(max_wait, pops - since - limit);
        }
    }
    return max_wait;
}

}  // namespace

// Guards against one customer with five times the load delaying all others.
TEST_CASE("an entry waits at most one round per entry of its customer up to and including itself") {
    bool baseline_fails = false;
    const auto holds = rc::check([&] {
        const auto arrivals =
            *rc::gen::resize(400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000)));
        const auto customers = *rc::gen::inRange(2, 10);
        RC_ASSERT(max_wait_beyond_rounds(queue_discipline::fair, arrivals, customers) <= 0);
        baseline_fails =
            baseline_fails || max_wait_beyond_rounds(queue_discipline::first_come_first_served,
                                                     arrivals, customers) > 0;
    });
    CHECK(holds);
    // The schedules cause enough load to distinguish the two disciplines.
    CHECK(baseline_fails);
}

// Guards against starvation by entries of different cost and against lost or duplicated entries.
TEST_CASE("backlogged customers are served equal cost, and every entry is returned once") {
    const auto holds = rc::check([] {
        queue entries;
        const auto costs =
            *rc::gen::container<std::vector<unsigned>>(5, rc::gen::inRange(1U, max_entry_cost + 1));
        int number = 0;
        for (int customer = 0; customer < 5; ++customer) {
            for (int count = 0; count < 64; ++count) {
                RC_ASSERT(is_pushed(entries.push(name_of(customer), {customer, number++},
                                                 far_deadline, start, costs[customer])));
            }
        }
        std::map<int, unsigned> served;
        std::set<int> seen;
        while (const auto next = entries.pop(start).next) {
            RC_ASSERT(seen.insert(next->number).second);
            served[next->customer] += costs[next->customer];
            bool all_waiting = true;
            for (int customer = 0; customer < 5; ++customer) {
                all_waiting = all_waiting && entries.size_of(name_of(customer)) > 0;
            }
            if (all_waiting) {
                for (int customer = 0; customer < 5; ++customer) {
                    const auto least = served[customer] + max_entry_cost;
                    RC_ASSERT(served[next->customer] <= least + 1);
                }
            }
        }
        RC_ASSERT(seen.size() == 5U * 64U);
    });
    CHECK(holds);
}

// Guards against statements that start after their deadline or are dropped without a report.
TEST_CASE("an entry past its deadline is reported as expired and never returned as the next one") {
    const auto holds = rc::check([] {
        const auto discipline =
            *rc::gen::element(queue_discipline::fair, queue_discipline::first_come_first_served);
        queue entries({discipline, 64, 512});
        std::map<int, time_point> deadlines;
        std::set<int> left;
        const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100));
        for (int number = 0; number < static_cast<int>(waits.size()); ++number) {
            const auto deadline = start + milliseconds(waits[number]);
            if (is_pushed(
                    entries.push(name_of(number % 3), {number % 3, number}, deadline, start))) {
                deadlines[number] = deadline;
            }
        }
        for (int now_ms = 0; now_ms <= 100; now_ms += 5) {
            const auto now = start + milliseconds(now_ms);
            const auto result = entries.pop(now);
            if (result.next) {
                RC_ASSERT(deadlines.at(result.next->number) > now);
                RC_ASSERT(left.insert(result.next->number).second);
            }
            for (const auto& late : result.expired) {
                RC_ASSERT(deadlines.at(late.number) <= now);
                RC_ASSERT(left.insert(late.number).second);
            }
            for (const auto& late : entries.take_expired(now)) {
                RC_ASSERT(deadlines.at(late.number) <= now);
                RC_ASSERT(left.insert(late.number).second);
            }
            RC_ASSERT(entries.next_deadline() > now);
        }
        RC_ASSERT(entries.empty());
        RC_ASSERT(left.size() == deadlines.size());
    });
    CHECK(holds);
}

// Guards against unbounded growth and against customers with many entries filling the queue.
TEST_CASE("a full queue refuses immediately unless the customer has fewer entries than another") {
    queue entries({queue_discipline::fair, 4, 8});
    for (int count = 0; count < 4; ++count) {
        CHECK(is_pushed(entries.push(name_of(0), {0, count}, far_deadline, start)));
        CHECK(is_pushed(entries.push(name_of(1), {1, count}, far_deadline, start)));
    }
    CHECK(std::get<queue_refusal>(entries.push(name_of(0), {0, 9}, far_deadline, start)) ==
          queue_refusal::customer_full);
    const auto pushed = entries.push(name_of(2), {2, 10}, far_deadline, start);
    REQUIRE(is_pushed(pushed));
    const auto& evicted = std::get<queue::push_result>(pushed).evicted;
    REQUIRE(evicted.has_value());
    CHECK(evicted->number == 3);
    CHECK(entries.size() == 8);
    CHECK(entries.remove(std::get<queue::push_result>(pushed).handle)->number == 10);
    CHECK_FALSE(entries.remove(std::get<queue::push_result>(pushed).handle).has_value());

    queue baseline({queue_discipline::first_come_first_served, 4, 8});
    for (int count = 0; count < 8; ++count) {
        CHECK(is_pushed(baseline.push(name_of(0), {0, count}, far_deadline, start)));
    }
    CHECK(std::get<queue_refusal>(baseline.push(name_of(2), {2, 10}, far_deadline, start)) ==
          queue_refusal::queue_full);
}
