#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade::standins {

/// The faults that are switched on. Thread safety: one thread.
struct fault_state {
    /// Every connection is closed at once.
    bool down = false;
    milliseconds slow{0};
    /// So many changes take effect, then the connection closes without an answer.
    std::uint64_t lose_answers = 0;
    /// As lose_answers, for seal, promote and follow.
    std::uint64_t lose_failover_answers = 0;
    /// No traffic with other instances.
    bool isolated = false;
    /// Whether clients get through while isolated.
    bool clients_pass = true;
    bool leaving = false;
    milliseconds receive_delay{0};
    milliseconds apply_lag{0};
    milliseconds host_list_lag{0};
};

/// Applies {"fault": NAME, "on": bool, "value": N}. Throws std::invalid_argument for an unknown
/// name or a value out of range. "silent" is left to the server, which owns the connections.
void apply_fault(fault_state& faults, const boost::json::object& request);

/// Takes one from the counter; returns whether there was one.
bool consume(std::uint64_t& counter);

}  // namespace masticgrade::standins
