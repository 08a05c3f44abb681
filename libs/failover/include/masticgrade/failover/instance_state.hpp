#pragma once

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/version/instance_role.hpp"

namespace masticgrade {

/// The term and log positions that every response of a database instance contains.
struct instance_progress {
    instance_id instance;
    term_number term;
    log_position received;
    log_position applied;
    /// When the request was sent. Orders the responses, which may arrive in another order.
    time_point sent_at;
};

/// The response to `state`.
struct instance_state {
    instance_progress progress;
    instance_role role = instance_role::replica;
    /// The term of the last entry in the instance's log.
    term_number last_term;
    milliseconds staleness{0};
};

}  // namespace masticgrade
