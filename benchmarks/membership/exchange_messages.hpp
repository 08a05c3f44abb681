#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <utility>

#include "masticgrade/peer/codec.hpp"
#include "masticgrade/process/freshness.hpp"
#include "masticgrade/process/membership.hpp"

namespace masticgrade::benchmarks {

/// A list of members with ids of the length that platforms use.
inline members make_list(std::size_t count) {
    members list{fleet_version{1000}};
    for (std::size_t i = 0; i < count; ++i) {
        const host_id id{fmt::format("proxy-{:04}", i)};
        list.hosts[id] = {id, endpoint_address{fmt::format("10.0.{}.{}:7400", i / 250, i % 250)},
                          failure_domain_id{fmt::format("domain-{}", i % 7)},
                          incarnation_number{i + 1}};
    }
    return list;
}

inline host_incarnation host_at(const members& list, std::size_t position) {
    const auto found = std::next(list.hosts.begin(), static_cast<std::ptrdiff_t>(position));
    return {found->first, found->second.incarnation};
}

inline peer::envelope make_envelope(const members& list, const host_incarnation& sender,
                                    peer::message_body body) {
    return {request_number{123456}, false,        sender.id,
            sender.incarnation,     list.version, std::move(body)};
}

inline peer::exchange_reply make_reply(const freshness& fresh, const list_report& report,
                                       time_point now) {
    peer::exchange_reply reply;
    reply.version = fresh.applied_version();
    if (const auto age = fresh.current_age(now)) {
        reply.current_age = std::chrono::ceil<milliseconds>(*age);
    }
    reply.ages = fresh.packed_ages(now);
    reply.unreachable = report.unreachable;
    reply.members_settled = report.settled;
    reply.members_applied = report.applied;
    reply.list_version = fresh.list_version();
    return reply;
}

}  // namespace masticgrade::benchmarks
