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
    /// Deficit round robin over customers with equal weights.
    fair,
    /// Baseline: in the order of arrival over all customers, bounded in all only.
    first_come_first_served
};

struct fair_queue_settings {
    queue_discipline discipline = queue_discipline::fair;
    std::size_t max_per_customer = 64;
    std::size_t max_total = 512;
};

enum class queue_refusal { customer_full, queue_full, deadline_passed };

/// A bounded queue in front of one instance. Entries carry a deadline; one whose deadline has
/// passed is never handed out but reported as expired, so that its caller can be told "not run".
/// Thread safety: same as a container.
template <class Entry>
class fair_queue {
public:
    struct push_result {
        queue_handle handle;
        /// An entry of the customer with the most entries that had to make room; it is not run.
        std::optional<Entry> evicted;
    };
    struct pop_result {
        /// The entry to start now, if there is any.
        std::optional<Entry> next;
        /// Entries that were next but too late; they are not run.
        std::vector<Entry> expired;
    };

    explicit fair_queue(fair_queue_settings settings = {})
        : settings_(settings), order_(make_order(settings.discipline)) {}

    /// Adds an entry or refuses it at once. `cost` is in units of one ordinary statement.
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
            result.evicted = make_room(customer);
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

    /// Takes the next entry whose deadline has not passed.
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

    /// Takes every entry whose deadline has passed.
    std::vector<Entry> take_expired(time_point now) {
        std::vector<Entry> expired;
        remove_if([&](const auto& item) { return item.deadline <= now; }, expired);
        return expired;
    }

    /// Takes an entry whose caller is gone; nothing when it is no longer queued.
    std::optional<Entry> remove(queue_handle handle) {
        std::vector<Entry> removed;
        remove_if([&](const auto& item) { return item.handle == handle; }, removed);
        return removed.empty() ? std::nullopt : std::optional<Entry>{std::move(removed.front())};
    }

    /// When `take_expired` will next find an entry; `time_point::max()` when the queue is empty.
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

    std::optional<Entry> make_room(const customer_id& customer) {
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
