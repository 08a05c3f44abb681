#pragma once

#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// A replica during a promotion.
struct promotion_candidate {
    instance_id id;
    /// The answer to a hold of the promotion's term, when there was one.
    std::optional<instance_status> held;
    /// Leaving, or in an evacuated failure domain.
    bool is_draining = false;
};

struct promotion_choice {
    instance_id target;
    log_index position;
};

/// Chooses the replica to promote, such that no acknowledged commit is lost.
///
/// A commit is acknowledged once one replica has received it. When every replica that can receive
/// is held, nothing more is acknowledged, and each acknowledged commit is on the replica with the
/// longest log. Returns nothing unless all `replicas` are held at `term`. Among the longest logs a
/// wanted replica goes first; an is_draining one is chosen rather than a shorter log.
///
/// Thread safety: reentrant.
std::optional<promotion_choice> choose_promotion_target(
    const std::vector<promotion_candidate>& replicas, term_number term);

/// How long a host waits before it takes a promotion on itself, so that hosts that notice the same
/// failure do not all try at once. Rank 0 waits nothing.
milliseconds takeover_delay(std::size_t rank) noexcept;

/// The position of `self` among `hosts` in an order that every host computes alike for `group`.
std::size_t failover_rank(const group_id& group, const host_id& self,
                          const std::vector<host_id>& hosts);

}  // namespace masticgrade
