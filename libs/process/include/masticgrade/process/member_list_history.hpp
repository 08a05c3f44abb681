#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

struct host_incarnation {
    host_id id;
    incarnation_number incarnation;

    friend bool operator==(const host_incarnation&, const host_incarnation&) = default;
};

/// One members list with its hosts in the order of their ids, which is their order on the wire.
struct member_index {
    fleet_version version;
    std::vector<host_incarnation> hosts;

    /// The position of a host, or nothing when it is not listed with this incarnation.
    [[nodiscard]] std::optional<std::size_t> position(const host_incarnation& host) const;
};

/// The members list in force and a few before it, so that what a peer says about the hosts of a
/// slightly older list can still be used. Thread safety: none.
class member_list_history {
public:
    /// Makes a newer list current.
    void apply(const members& list);

    [[nodiscard]] const member_index& current() const noexcept { return lists_.front(); }

    /// Where each host of the list with this version is in the current list, or nothing for a host
    /// that left or changed its incarnation. Empty when the version is not known.
    [[nodiscard]] std::optional<std::vector<std::optional<std::size_t>>> positions(
        fleet_version version) const;

private:
    /// Newest first; never empty.
    std::deque<member_index> lists_ = std::deque<member_index>(1);
};

}  // namespace masticgrade
