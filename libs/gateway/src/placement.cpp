#include "masticgrade/gateway/placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticgrade {

namespace {

/// Used until an instance has answered something; a typical statement.
constexpr microseconds default_service_time{20000};
/// Waiting statements that a read counts a primary for beyond what this host sees there.
constexpr double primary_reserve = 1.0;
/// Advantage of an instance in the own failure domain: two crossings between domains.
constexpr microseconds domain_crossing{2000};

double expected_us(const placement_candidate& item, microseconds connection_setup) {
    const auto service = item.service_time.count() > 0 ? item.service_time : default_service_time;
    const double waiting =
        static_cast<double>(item.outstanding) / static_cast<double>(std::max(1U, item.slots)) +
        (item.is_primary ? primary_reserve : 0);
    double cost = static_cast<double>(service.count()) * (1 + waiting) +
                  static_cast<double>(item.queue_time.count());
    if (!item.has_free_connection) {
        cost += static_cast<double>(connection_setup.count()) * (item.can_open ? 1 : 2);
    }
    if (!item.same_domain) {
        cost += static_cast<double>(domain_crossing.count());
    }
    return cost;
}

}  // namespace

std::optional<instance_id> choose_instance(const std::vector<placement_candidate>& candidates,
                                           microseconds connection_setup) {
    const placement_candidate* best = nullptr;
    double best_cost = 0;
    for (const auto& item : candidates) {
        if (!item.has_free_connection && !item.can_open && !item.can_replace) {
            continue;
        }
        const double cost = expected_us(item, connection_setup);
        if (best == nullptr || cost < best_cost) {
            best = &item;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->instance;
}

std::optional<host_id> choose_pool_owner(const instance_id& instance,
                                         const failure_domain_id& failure_domain,
                                         const std::vector<pool_owner_candidate>& candidates) {
    std::optional<host_id> best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& item : candidates) {
        const auto text = instance.str() + '\n' + item.host.str();
        const std::pair rank{item.failure_domain == failure_domain,
                             std::uint64_t{XXH3_64bits(text.data(), text.size())}};
        if (!best || rank > best_rank) {
            best = item.host;
            best_rank = rank;
        }
    }
    return best;
}

pool_limits pool_owner_connections(unsigned max_connections, std::size_t customers) {
    constexpr double least_kept_part = 0.35;
    constexpr double most_kept_part = 0.75;
    constexpr double most_part = 0.8;
    const auto part = [&](double value) {
        return std::max(1U, static_cast<unsigned>(value * max_connections));
    };
    const auto wanted = static_cast<unsigned>(std::min<std::size_t>(customers, max_connections));
    return {std::clamp(wanted, part(least_kept_part), part(most_kept_part)), part(most_part)};
}

pool_limits divide_connections(unsigned max_connections, std::size_t hosts, double own_part) {
    constexpr double usable = 0.9;
    constexpr double even_part = 0.5;
    constexpr double growth = 2.0;
    constexpr double largest_part = 0.5;
    const double total = usable * max_connections;
    const double own =
        total * (even_part / static_cast<double>(hosts) + (1 - even_part) * own_part);
    pool_limits share;
    share.core_size = std::max(1U, static_cast<unsigned>(std::floor(own)));
    const double most =
        std::min(growth * own, std::max(own, largest_part * static_cast<double>(max_connections)));
    share.max_size = std::max(share.core_size + 1, static_cast<unsigned>(std::floor(most)));
    return share;
}

}  // namespace masticgrade
