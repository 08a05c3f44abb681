#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// Ranks the members for a subject by rendezvous hashing: every host computes the same order, and
/// the removal of a host moves only what that host had.
/// Returns at most `count` hosts, best first. Thread safety: reentrant.
std::vector<host_id> rank_hosts(const members& hosts, std::string_view subject, std::size_t count);

/// As `rank_hosts`, but takes hosts of distinct failure domains first.
std::vector<host_id> rank_hosts_across_domains(const members& hosts, std::string_view subject,
                                               std::size_t count);

}  // namespace masticgrade
