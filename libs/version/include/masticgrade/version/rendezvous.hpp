#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// Ranks the members for a subject by rendezvous hashing: every host computes the same order, and
/// removing a host reassigns only the subjects that were assigned to it. Returns at most `count`
/// hosts in descending rank. Thread safety: reentrant.
std::vector<host_id> rank_hosts(const members& hosts, std::string_view subject, std::size_t count);

/// Like `rank_hosts`, but ranks the best host of each failure domain before all other hosts.
std::vector<host_id> rank_hosts_across_domains(const members& hosts, std::string_view subject,
                                               std::size_t count);

}  // namespace masticgrade
