#include "workload.hpp"

#include <algorithm>

namespace masticgrade::load {

namespace {

operation_kind choose_kind(const load_mix& mix, std::mt19937_64& random) {
    double point = std::uniform_real_distribution<double>(0, 1)(random);
    const auto falls_into = [&point](double share) {
        point -= share;
        return point < 0;
    };
    if (falls_into(mix.writes / 2)) {
        return operation_kind::write;
    }
    if (falls_into(mix.writes / 2)) {
        return operation_kind::booking;
    }
    if (falls_into(mix.stale_reads)) {
        return operation_kind::stale_read;
    }
    if (falls_into(mix.session_reads)) {
        return operation_kind::session_read;
    }
    if (falls_into(mix.roaming_reads)) {
        return operation_kind::roaming_read;
    }
    if (falls_into(mix.transactions)) {
        return operation_kind::transaction;
    }
    return operation_kind::current_read;
}

}  // namespace

std::vector<planned_operation> plan_operations(const load_options& options) {
    std::vector<planned_operation> plan;
    for (std::size_t i = 0; i < options.customers.size(); ++i) {
        // Each customer has a source of its own, so that the heavy customer's factor leaves the
        // plans of the others as they are.
        std::mt19937_64 random(options.seed * 1000003 + i);
        const auto& customer = options.customers[i];
        const bool heavy = customer.name == options.heavy_customer;
        std::exponential_distribution<double> gap(customer.offered *
                                                  (heavy ? options.heavy_factor : 1.0));
        std::chrono::duration<double> at(gap(random));
        while (at < options.duration) {
            planned_operation operation;
            operation.at = std::chrono::duration_cast<duration>(at);
            operation.customer = i;
            operation.kind = choose_kind(options.mix, random);
            operation.keyed =
                std::uniform_real_distribution<double>(0, 1)(random) >= options.mix.unkeyed;
            operation.choice = random();
            plan.push_back(operation);
            at += std::chrono::duration<double>(gap(random));
        }
    }
    std::ranges::stable_sort(plan, {}, &planned_operation::at);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        plan[i].id = i + 1;
    }
    return plan;
}

}  // namespace masticgrade::load
