#pragma once

#include <cstddef>
#include <map>

#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// The highest position at which each replica of a group was seen since its last promotion.
///
/// What a replica has received may have been acknowledged, whether or not the replica still runs or
/// still has its log. Keeps the entries with the highest positions if there are more than
/// `max_replicas`. Thread safety: none.
class replica_positions {
public:
    static constexpr std::size_t max_replicas = 16;

    /// The log of the replica reached `position`.
    void on_seen(const instance_id& replica, log_index position);
    /// The group has been led in `term` since. Its primary may lack what a replica had received in
    /// an earlier term without an acknowledgement.
    void on_promotion(term_number term);

    [[nodiscard]] const std::map<instance_id, log_index>& positions() const { return positions_; }

private:
    std::map<instance_id, log_index> positions_;
    /// Positions of earlier terms are ignored.
    term_number term_;
};

}  // namespace masticgrade
