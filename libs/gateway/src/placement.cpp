#include "masticgrade/gateway/placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <compare>
#include <map>
#include <string_view>
#include <utility>

namespace masticgrade {

namespace {

/// Time of a typical statement; used until an instance has answered one.
constexpr microseconds default_service_time{20000};
/// Queued statements per slot added to the load of a primary, so that reads prefer replicas.
constexpr double primary_load_bias = 1.0;
/// Network round trip to an instance in another failure domain.
constexpr microseconds cross_domain_round_trip{2000};

double expected_completion_us(const placement_candidate& item, microseconds connection_setup) {
    const auto service = item.service_time.count() > 0 ? item.service_time : default_service_time;
    const double waiting =
        static_cast<double>(item.outstanding) / static_cast<double>(std::max(1U, item.slots)) +
        (item.is_primary ? primary_load_bias : 0);
    double cost = static_cast<double>(service.count()) * (1 + waiting) +
                  static_cast<double>(item.queue_time.count());
    if (item.is_avoided) {
        cost += static_cast<double>(connection_setup.count());
    }
    if (!item.has_free_connection) {
        cost += static_cast<double>(connection_setup.count()) * (item.can_open ? 1 : 2);
    }
    if (!item.same_domain) {
        cost += static_cast<double>(cross_domain_round_trip.count());
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
        const double cost = expected_completion_us(item, connection_setup);
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

std::set<instance_id> preferred_instances(const customer_id& customer,
                                          const std::vector<instance_id>& replicas,
                                          std::size_t customers, unsigned connections_per_pool) {
    const auto connections = replicas.size() * connections_per_pool;
    if (customers <= connections_per_pool) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, instance_id>> ranked;
    ranked.reserve(replicas.size());
    for (const auto& instance : replicas) {
        const auto text = customer.str() + '\n' + instance.str();
        ranked.emplace_back(XXH3_64bits(text.data(), text.size()), instance);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), std::max<std::size_t>(1, connections / customers)));
    std::set<instance_id> result;
    for (const auto& item : ranked) {
        result.insert(item.second);
    }
    return result;
}

std::size_t choose_connection_to_close(std::span<const customer_id> customers) {
    std::set<std::string_view> seen;
    std::size_t result = 0;
    for (std::size_t i = customers.size(); i-- > 0;) {
        if (!seen.insert(customers[i].str()).second) {
            result = i;
        }
    }
    return result;
}

std::optional<host_id> choose_pool_owner(const instance_id& instance,
                                         const failure_domain_id& failure_domain,
                                         const std::vector<pool_owner_candidate>& candidates) {
    struct rank {
        bool same_domain = false;
        bool has_fast_link = false;
        std::uint64_t hash = 0;
        auto operator<=>(const rank&) const = default;
    };
    std::map<bool, unsigned> fastest_link;
    for (const auto& item : candidates) {
        auto& fastest = fastest_link[item.failure_domain == failure_domain];
        fastest = std::max(fastest, item.link_mbps);
    }
    std::optional<host_id> best;
    rank best_rank;
    for (const auto& item : candidates) {
        const auto text = instance.str() + '\n' + item.host.str();
        const bool same_domain = item.failure_domain == failure_domain;
        const rank rank{same_domain, 2 * item.link_mbps >= fastest_link[same_domain],
                        XXH3_64bits(text.data(), text.size())};
        if (!best || rank > best_rank) {
            best = item.host;
            best_rank = rank;
        }
    }
    return best;
}

pool_limits pool_owner_connections(unsigned max_connections, std::size_t customers) {
    constexpr double min_core_fraction = 0.35;
    // When an owner loses power, its connections count for seconds. The next owner needs as many.
    constexpr double max_core_fraction = 0.5;
    constexpr double max_fraction = 0.8;
    const auto connections = [&](double fraction) {
        return std::max(1U, static_cast<unsigned>(fraction * max_connections));
    };
    const auto wanted = static_cast<unsigned>(std::min<std::size_t>(customers, max_connections));
    return {std::clamp(wanted, connections(min_core_fraction), connections(max_core_fraction)),
            connections(max_fraction)};
}

pool_limits borrower_connections() { return {0, 1}; }

pool_limits divide_connections(unsigned max_connections, std::size_t hosts,
                               double local_load_fraction) {
    constexpr double usable_fraction = 0.9;
    constexpr double even_fraction = 0.5;
    constexpr double max_growth = 2.0;
    constexpr double max_fraction_per_host = 0.5;
    const double total = usable_fraction * max_connections;
    const double own = total * (even_fraction / static_cast<double>(hosts) +
                                (1 - even_fraction) * local_load_fraction);
    pool_limits limits;
    limits.core_size = static_cast<unsigned>(std::floor(own));
    const double max_size =
        std::min(max_growth * own,
                 std::max(own, max_fraction_per_host * static_cast<double>(max_connections)));
    limits.max_size = std::max(limits.core_size + 1, static_cast<unsigned>(std::floor(max_size)));
    return limits;
}

}  // namespace masticgrade
