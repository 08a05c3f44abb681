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

/// The highest cost of one entry; it bounds the rounds that an entry can wait at the front.
inline constexpr unsigned max_entry_cost = 16;

template <class Entry>
struct queued_entry {
    queue_handle handle;
    customer_id customer;
    time_point deadline;
    unsigned cost = 1;
    Entry entry;
};

/// Takes the entries for which `predicate` holds out of `items`, in order.
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

/// Deficit round robin: a customer gets one unit of cost per round, whatever it has queued.
template <class Entry>
class deficit_round_robin_order {
public:
    void push(queued_entry<Entry> item) {
        auto& line = lines_[item.customer];
        if (line.items.empty()) {
            turns_.push_back(item.customer);
        }
        line.items.push_back(std::move(item));
        ++size_;
    }

    /// Precondition: not empty.
    queued_entry<Entry> pop() {
        while (true) {
            auto& line = lines_.at(turns_.front());
            if (!line.in_turn) {
                line.in_turn = true;
                ++line.deficit;
            }
            if (line.deficit >= line.items.front().cost) {
                return take_front(line);
            }
            end_turn(line);
        }
    }

    /// Takes the newest entry of the customer with the most entries, if that has at least two more
    /// than `customer`.
    std::optional<Entry> evict_for(const customer_id& customer) {
        const auto longest =
            std::max_element(lines_.begin(), lines_.end(), [](const auto& left, const auto& right) {
                return std::pair{left.second.items.size(), right.first} <
                       std::pair{right.second.items.size(), left.first};
            });
        if (longest == lines_.end() || longest->second.items.size() < size_of(customer) + 2) {
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
        for (const auto& customer : std::vector<customer_id>(turns_.begin(), turns_.end())) {
            auto& line = lines_.at(customer);
            const auto before = line.items.size();
            extract_if(line.items, predicate, removed);
            size_ -= before - line.items.size();
            if (line.items.empty()) {
                std::erase(turns_, customer);
                lines_.erase(customer);
            }
        }
    }

    [[nodiscard]] time_point next_deadline() const {
        auto earliest = time_point::max();
        for (const auto& [customer, line] : lines_) {
            earliest = std::min(earliest, earliest_deadline(line.items));
        }
        return earliest;
    }
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size_of(const customer_id& customer) const {
        const auto found = lines_.find(customer);
        return found == lines_.end() ? 0 : found->second.items.size();
    }

private:
    /// Exists only while the customer has entries, so that an idle customer saves up no deficit.
    struct line_state {
        std::deque<queued_entry<Entry>> items;
        unsigned deficit = 0;
        bool in_turn = false;
    };

    queued_entry<Entry> take_front(line_state& line) {
        auto item = std::move(line.items.front());
        line.items.pop_front();
        line.deficit -= item.cost;
        --size_;
        if (line.items.empty()) {
            turns_.pop_front();
            lines_.erase(item.customer);
        } else if (line.deficit < line.items.front().cost) {
            end_turn(line);
        }
        return item;
    }

    void end_turn(line_state& line) {
        line.in_turn = false;
        turns_.push_back(std::move(turns_.front()));
        turns_.pop_front();
    }

    std::unordered_map<customer_id, line_state> lines_;
    /// The customers with entries, the one whose turn it is first.
    std::deque<customer_id> turns_;
    std::size_t size_ = 0;
};

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
        forget(item.customer);
        return item;
    }

    /// Later arrivals never displace earlier ones.
    std::optional<Entry> evict_for(const customer_id&) { return std::nullopt; }

    template <class Predicate>
    void remove_if(Predicate predicate, std::vector<Entry>& removed) {
        extract_if(
            items_,
            [&](const auto& item) {
                const bool matches = predicate(item);
                if (matches) {
                    forget(item.customer);
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
    void forget(const customer_id& customer) {
        const auto found = sizes_.find(customer);
        if (--found->second == 0) {
            sizes_.erase(found);
        }
    }

    std::deque<queued_entry<Entry>> items_;
    std::unordered_map<customer_id, std::size_t> sizes_;
};

}  // namespace masticgrade
