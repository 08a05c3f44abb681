#include "masticgrade/request/routing.hpp"

#include <algorithm>
#include <tuple>

namespace masticgrade {

namespace {

struct is_fresh_enough {
    const instance_view& instance;

    bool operator()(const strong_read&) const { return false; }
    bool operator()(const session_read&) const { return true; }
    bool operator()(const bounded_staleness& bound) const {
        return instance.staleness && *instance.staleness <= bound.limit;
    }
};

bool is_eligible(const instance_view& instance, const read_request& request,
                 const group_record& record, log_position required) {
    return instance.id != record.primary && instance.reachable && !instance.draining &&
           instance.term == record.term && instance.applied >= required &&
           request.random < instance.admitted_share &&
           std::visit(is_fresh_enough{instance}, request.freshness);
}

}  // namespace

std::optional<log_position> required_position(const std::optional<session_position>& session,
                                              const group_record& record) noexcept {
    if (!session) {
        return log_position{};
    }
    if (session->term > record.term) {
        return std::nullopt;
    }
    if (session->term == record.term) {
        return session->position;
    }
    // An acknowledged entry of an older term always precedes the start of the newer term.
    return std::min(session->position, record.start_position);
}

read_decision select_read_target(const read_request& request, const group_record& record,
                                 const std::vector<instance_view>& instances) {
    const auto required = required_position(request.session, record);
    if (!required) {
        return routing_refusal::group_record_outdated;
    }
    if (record.phase != group_phase::active) {
        return routing_refusal::no_primary;
    }
    std::optional<std::size_t> best;
    std::optional<std::size_t> primary;
    const auto cost = [&](std::size_t index) {
        const auto& instance = instances[index];
        return std::tuple{instance.outstanding, instance.failure_domain != request.own_domain,
                          index};
    };
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i].id == record.primary) {
            primary = i;
            continue;
        }
        if (!request.primary_only && is_eligible(instances[i], request, record, *required) &&
            (!best || cost(i) < cost(*best))) {
            best = i;
        }
    }
    if (best) {
        return read_target{*best, *required, true};
    }
    if (!primary) {
        return routing_refusal::no_primary;
    }
    return read_target{*primary, *required, false};
}

}  // namespace masticgrade
