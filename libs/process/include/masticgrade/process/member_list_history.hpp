#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// A host with its incarnation, which is new after each process start and after each removal.
struct host_incarnation {
    host_id id;
    incarnation_number incarnation;

    friend bool operator==(const host_incarnation&, const host_incarnation&) = default;
};

/// One member list with its hosts sorted by id, which is their order on the wire.
struct member_index {
    fleet_version version;
    std::vector<host_incarnation> hosts;

    /// Returns the position of a host, or nothing when it is not listed with this incarnation.
    [[nodiscard]] std::optional<std::size_t> position(const host_incarnation& host) const;
};

/// The current member list and a few previous ones, so that replies from peers with a slightly
/// older list remain usable. Thread safety: none.
class member_list_history {
public:
    /// Replaces the current list by a newer one.
    void apply(const members& list);

    [[nodiscard]] const member_index& current() const noexcept { return lists_.front(); }

    /// Maps each host of the list with this version to its position in the current list, or to
    /// nothing if it left or changed its incarnation. Empty when the version is not in the history.
    [[nodiscard]] std::optional<std::vector<std::optional<std::size_t>>> positions(
        fleet_version version) const;

private:
    /// Newest first; never empty.
    std::deque<member_index> lists_ = std::deque<member_index>(1);
};

}  // namespace masticgrade
