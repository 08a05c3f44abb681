#include "masticgrade/gateway/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace masticgrade {

waiter_number wait_queue::add(waiter item) {
    const waiter_number number{++last_number_};
    items_.emplace(number, std::move(item));
    return number;
}

void wait_queue::remove(waiter_number number) { items_.erase(number); }

bool wait_queue::can_be_served_in_time(const waiter& item, time_point now,
                                       double releases_per_second) const {
    const auto ahead = std::count_if(items_.begin(), items_.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        return other.needs_primary == item.needs_primary && other.instance == item.instance &&
               std::tie(other.priority, other.deadline) <= std::tie(item.priority, item.deadline);
    });
    if (ahead == 0) {
        return true;
    }
    const double available = std::chrono::duration<double>(item.deadline - now).count();
    return static_cast<double>(ahead) < releases_per_second * available;
}

std::vector<waiter_number> wait_queue::order(
    time_point now, const std::map<customer_id, unsigned>& in_flight) const {
    struct rank {
        bool late;
        unsigned customer_load;
        unsigned priority;
        time_point deadline;
        waiter_number number;
        auto operator<=>(const rank&) const = default;
    };
    std::vector<rank> ranks;
    ranks.reserve(items_.size());
    for (const auto& [number, item] : items_) {
        const auto load = in_flight.find(item.customer);
        ranks.push_back({item.latest_start < now, load == in_flight.end() ? 0 : load->second,
                         item.priority, item.deadline, number});
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<waiter_number> result;
    result.reserve(ranks.size());
    for (const auto& item : ranks) {
        result.push_back(item.number);
    }
    return result;
}

bool wait_queue::has_waiter_for(const instance_id& instance, bool is_primary) const {
    return std::any_of(items_.begin(), items_.end(), [&](const auto& entry) {
        const auto& item = entry.second;
        return item.instance.empty() ? !item.needs_primary || is_primary
                                     : item.instance == instance;
    });
}

bool wait_queue::has_waited_since(time_point moment) const {
    return std::any_of(items_.begin(), items_.end(),
                       [&](const auto& entry) { return entry.second.enqueued_at <= moment; });
}

}  // namespace masticgrade
