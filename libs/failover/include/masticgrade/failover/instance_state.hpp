#pragma once

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/version/instance_role.hpp"

namespace masticgrade {

/// What every answer of a database instance carries.
struct instance_progress {
    instance_id instance;
    term_number term;
    log_position received;
    log_position applied;
    /// When the request was sent. Answers are ordered by it, because they may arrive out of order.
    time_point sent_at;
};

/// An answer to `state`.
struct instance_state {
    instance_progress progress;
    instance_role role = instance_role::replica;
    /// The term of the last entry in the instance's log.
    term_number last_term;
    milliseconds staleness{0};
};

}  // namespace masticgrade
