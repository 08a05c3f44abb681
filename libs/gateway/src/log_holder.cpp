#include "masticgrade/gateway/log_holder.hpp"

#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

log_holder log_holder_of(const instance_entry& entry) {
    return {entry.id, entry.address, entry.start_time};
}

bool is_successor(const instance_entry& entry, const log_holder& holder) {
    const bool takes_its_place = entry.id == holder.instance || entry.address == holder.address;
    return takes_its_place && log_holder_of(entry) != holder &&
           entry.start_time >= holder.start_time;
}

}  // namespace masticgrade
