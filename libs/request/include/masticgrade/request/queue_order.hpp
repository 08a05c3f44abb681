#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

using queue_handle = strong_number<struct queue_handle_tag>;

/// The maximum cost of one entry. It limits how many rounds an entry waits at the front of its
/// queue.
inline constexpr unsigned max_entry_cost = 16;

template <class Entry>
struct queued_entry {
    queue_handle handle;
    customer_id customer;
    time_point deadline;
    unsigned cost = 1;
    Entry entry;
};

/// Moves the entries that match `predicate` from `items` to `removed`, in order.
template <class Entry, class Predicate>
void extract_if(std::deque<queued_entry<Entry>>& items, Predicate predicate,
                std::vector<Entry>& removed) {
    const auto kept = std::stable_partition(items.begin(), items.end(),
                                            [&](const auto& item) { return !predicate(item); });
    for (auto item = kept; item != items.end(); ++item) {
        removed.push_back(std::move(item->entry));
    }
    items.erase(kept, items.end());
}

template <class Entry>
time_point earliest_deadline(const std::deque<queued_entry<Entry>>& items) {
    auto earliest = time_point::max();
    for (const auto& item : items) {
        earliest = std::min(earliest, item.deadline);
    }
    return earliest;
}

/// Deficit round robin: each customer receives one unit of cost per round, however many entries it
/// has queued.
template <class Entry>
class deficit_round_robin_order {
public:
    void push(queued_entry<Entry> item) {
        auto& queue = queues_[item.customer];
        if (queue.items.empty()) {
            active_customers_.push_back(item.customer);
        }
        queue.items.push_back(std::move(item));
        ++size_;
    }

    /// Precondition: not empty.
    queued_entry<Entry> pop() {
        while (true) {
            auto& queue = queues_.at(active_customers_.front());
            if (!queue.credited) {
                queue.credited = true;
                ++queue.deficit;
            }
            if (queue.deficit >= queue.items.front().cost) {
                return take_front(queue);
            }
            rotate(queue);
        }
    }

    /// Removes and returns the newest entry of the customer with the most entries, if that customer
    /// has at least two more than `customer`.
    std::optional<Entry> evict_for(const customer_id& customer) {
        const auto longest = std::max_element(
            queues_.begin(), queues_.end(), [](const auto& left, const auto& right) {
                return std::pair{left.second.items.size(), right.first} <
                       std::pair{right.second.items.size(), left.first};
            });
        if (longest == queues_.end() || longest->second.items.size() < size_of(customer) + 2) {
            return std::nullopt;
        }
        auto& items = longest->second.items;
        std::optional<Entry> evicted{std::move(items.back().entry)};
        items.pop_back();
        --size_;
        return evicted;
    }

    template <class Predicate>
    void remove_if(Predicate predicate, std::vector<Entry>& removed) {
        for (const auto& customer :
             std::vector<customer_id>(active_customers_.begin(), active_customers_.end())) {
            auto& queue = queues_.at(customer);
            const auto before = queue.items.size();
            extract_if(queue.items, predicate, removed);
            size_ -= before - queue.items.size();
            if (queue.items.empty()) {
                std::erase(active_customers_, customer);
                queues_.erase(customer);
            }
        }
    }

    [[nodiscard]] time_point next_deadline() const {
        auto earliest = time_point::max();
        for (const auto& [customer, queue] : queues_) {
            earliest = std::min(earliest, earliest_deadline(queue.items));
        }
        return earliest;
    }
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size_of(const customer_id& customer) const {
        const auto found = queues_.find(customer);
        return found == queues_.end() ? 0 : found->second.items.size();
    }

private:
    /// Exists only while the customer has entries, so that an idle customer accumulates no deficit.
    struct customer_queue {
        std::deque<queued_entry<Entry>> items;
        unsigned deficit = 0;
        /// Whether the customer has received its unit of cost for the current round.
        bool credited = false;
    };

    queued_entry<Entry> take_front(customer_queue& queue) {
        auto item = std::move(queue.items.front());
        queue.items.pop_front();
        queue.deficit -= item.cost;
        --size_;
        if (queue.items.empty()) {
            active_customers_.pop_front();
            queues_.erase(item.customer);
        } else if (queue.deficit < queue.items.front().cost) {
            rotate(queue);
        }
        return item;
    }

    void rotate(customer_queue& queue) {
        queue.credited = false;
        active_customers_.push_back(std::move(active_customers_.front()));
        active_customers_.pop_front();
    }

    std::unordered_map<customer_id, customer_queue> queues_;
    /// The customers with queued entries, the one to be served next first.
    std::deque<customer_id> active_customers_;
    std::size_t size_ = 0;
};

/// First in, first out over all customers.
template <class Entry>
class fifo_order {
public:
    void push(queued_entry<Entry> item) {
        ++sizes_[item.customer];
        items_.push_back(std::move(item));
    }

    /// Precondition: not empty.
    queued_entry<Entry> pop() {
        auto item = std::move(items_.front());
        items_.pop_front();
        decrement_size(item.customer);
        return item;
    }

    /// Never evicts: earlier entries take precedence over later ones.
    std::optional<Entry> evict_for(const customer_id&) { return std::nullopt; }

    template <class Predicate>
    void remove_if(Predicate predicate, std::vector<Entry>& removed) {
        extract_if(
            items_,
            [&](const auto& item) {
                const bool matches = predicate(item);
                if (matches) {
                    decrement_size(item.customer);
                }
                return matches;
            },
            removed);
    }

    [[nodiscard]] time_point next_deadline() const { return earliest_deadline(items_); }
    [[nodiscard]] std::size_t size() const { return items_.size(); }
    [[nodiscard]] std::size_t size_of(const customer_id& customer) const {
        const auto found = sizes_.find(customer);
        return found == sizes_.end() ? 0 : found->second;
    }

private:
    void decrement_size(const customer_id& customer) {
        const auto found = sizes_.find(customer);
        if (--found->second == 0) {
            sizes_.erase(found);
        }
    }

    std::deque<queued_entry<Entry>> items_;
    std::unordered_map<customer_id, std::size_t> sizes_;
};

}  // namespace masticgrade
