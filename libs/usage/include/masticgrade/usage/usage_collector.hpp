#pragma once

#include <compare>
#include <map>
#include <vector>

#include "masticgrade/usage/operation_counter.hpp"

namespace masticgrade {

/// A host that may collect the totals of the others.
struct collector_candidate {
    host_id host;
    failure_domain_id failure_domain;
    /// Bandwidth of the host's network link; 0 if unknown.
    unsigned link_mbps = 0;
};

/// Number of hosts to which each host sends its totals.
inline constexpr std::size_t collector_count = 3;

/// The collectors in order of preference: hosts with fast links, in different failure domains if
/// there are enough. The same for every host that knows the same candidates.
/// Thread safety: reentrant.
std::vector<host_id> choose_collectors(std::vector<collector_candidate> candidates);

/// Adds up the totals of all processes of the fleet. Totals of a process that has ended are kept.
///
/// Does not read the clock. Thread safety: none.
class usage_collector {
public:
    explicit usage_collector(milliseconds window_length, incarnation_number self = {})
        : window_length_(window_length), self_(self) {}

    /// Stores an update. Updates may arrive repeatedly and in any order. Windows that ended long
    /// before `now`, or begin after it by more than clocks may differ, are ignored.
    void on_update(const host_id& host, incarnation_number incarnation, const usage_update& update,
                   wall_time now);
    /// The sums over all processes.
    [[nodiscard]] usage_counts totals(window_number window) const;
    /// The hosts of which no update was taken at `moment` or later.
    [[nodiscard]] std::vector<host_id> missing(const std::vector<host_id>& hosts,
                                               wall_time moment) const;
    /// The hosts of which an update was taken at `moment` or later.
    [[nodiscard]] std::vector<host_id> heard_since(wall_time moment) const;
    /// When the newest update was taken; `limit` bounds the influence of wrong clocks.
    [[nodiscard]] wall_time newest_taken_at(wall_time limit) const;

private:
    struct process {
        host_id host;
        incarnation_number incarnation;

        auto operator<=>(const process&) const = default;
    };

    milliseconds window_length_;
    /// The collecting process.
    incarnation_number self_;
    std::map<window_number, std::map<process, usage_counts>> windows_;
    /// When the newest update that completed a host's totals was taken.
    std::map<host_id, wall_time> taken_at_;
};

}  // namespace masticgrade
