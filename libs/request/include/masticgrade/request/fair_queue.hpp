#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/request/queue_order.hpp"

namespace masticgrade {

enum class queue_discipline {
    /// Deficit round robin over the customers, with equal weights.
    fair,
    /// In order of arrival over all customers, with a total limit only. A baseline for
    /// measurements.
    first_come_first_served
};

struct fair_queue_settings {
    queue_discipline discipline = queue_discipline::fair;
    std::size_t max_per_customer = 64;
    std::size_t max_total = 512;
};

enum class queue_refusal { customer_full, queue_full, deadline_passed };

/// A bounded queue of the entries that wait for one instance. Each entry has a deadline. An entry
/// whose deadline has passed is never returned as the next one but as expired, so that its caller
/// is told "not run".
/// Thread safety: same as a container.
template <class Entry>
class fair_queue {
public:
    struct push_result {
        queue_handle handle;
        /// An entry of the customer with the most entries, removed to make room; it must not run.
        std::optional<Entry> evicted;
    };
    struct pop_result {
        /// The entry to run now, if any.
        std::optional<Entry> next;
        /// Entries whose deadline has passed; they must not run.
        std::vector<Entry> expired;
    };

    explicit fair_queue(fair_queue_settings settings = {})
        : settings_(settings), order_(make_order(settings.discipline)) {}

    /// Adds an entry or refuses it immediately. `cost` is in units of one ordinary statement.
    /// Precondition: 1 <= cost <= `max_entry_cost`.
    std::variant<push_result, queue_refusal> push(const customer_id& customer, Entry entry,
                                                  time_point deadline, time_point now,
                                                  unsigned cost = 1) {
        MG_PRECONDITION(cost >= 1 && cost <= max_entry_cost);
        if (deadline <= now) {
            return queue_refusal::deadline_passed;
        }
        if (size_of(customer) >= settings_.max_per_customer &&
            settings_.discipline == queue_discipline::fair) {
            return queue_refusal::customer_full;
        }
        push_result result;
        if (size() >= settings_.max_total) {
            result.evicted = evict_entry_for(customer);
            if (!result.evicted) {
                return queue_refusal::queue_full;
            }
        }
        last_handle_ = last_handle_.next();
        result.handle = last_handle_;
        std::visit(
            [&](auto& order) {
                order.push({result.handle, customer, deadline, cost, std::move(entry)});
            },
            order_);
        return result;
    }

    /// Removes and returns the next entry whose deadline has not passed.
    pop_result pop(time_point now) {
        pop_result result;
        while (!empty()) {
            auto item = std::visit([](auto& order) { return order.pop(); }, order_);
            if (item.deadline > now) {
                result.next = std::move(item.entry);
                break;
            }
            result.expired.push_back(std::move(item.entry));
        }
        return result;
    }

    /// Removes and returns all entries whose deadline has passed.
    std::vector<Entry> take_expired(time_point now) {
        std::vector<Entry> expired;
        remove_if([&](const auto& item) { return item.deadline <= now; }, expired);
        return expired;
    }

    /// Removes an entry, for example after its caller disconnected. Returns nothing if it is not
    /// queued any more.
    std::optional<Entry> remove(queue_handle handle) {
        std::vector<Entry> removed;
        remove_if([&](const auto& item) { return item.handle == handle; }, removed);
        return removed.empty() ? std::nullopt : std::optional<Entry>{std::move(removed.front())};
    }

    /// The earliest deadline of all entries; `time_point::max()` when the queue is empty.
    [[nodiscard]] time_point next_deadline() const {
        return std::visit([](const auto& order) { return order.next_deadline(); }, order_);
    }

    [[nodiscard]] std::size_t size() const {
        return std::visit([](const auto& order) { return order.size(); }, order_);
    }
    [[nodiscard]] std::size_t size_of(const customer_id& customer) const {
        return std::visit([&](const auto& order) { return order.size_of(customer); }, order_);
    }
    [[nodiscard]] bool empty() const { return size() == 0; }

private:
    using order_variant = std::variant<deficit_round_robin_order<Entry>, fifo_order<Entry>>;

    static order_variant make_order(queue_discipline discipline) {
        if (discipline == queue_discipline::fair) {
            return deficit_round_robin_order<Entry>{};
        }
        return fifo_order<Entry>{};
    }

    std::optional<Entry> evict_entry_for(const customer_id& customer) {
        return std::visit([&](auto& order) { return order.evict_for(customer); }, order_);
    }

    template <class Predicate>
    void remove_if(Predicate predicate, std::vector<Entry>& removed) {
        std::visit([&](auto& order) { order.remove_if(predicate, removed); }, order_);
    }

    fair_queue_settings settings_;
    order_variant order_;
    queue_handle last_handle_;
};

}  // namespace masticgrade
