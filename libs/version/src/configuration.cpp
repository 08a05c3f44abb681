#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

std::vector<instance_id> instance_ids(const group_config& group) {
    std::vector<instance_id> ids;
    ids.reserve(group.instances.size());
    for (const auto& instance : group.instances) {
        ids.push_back(instance.id);
    }
    return ids;
}

}  // namespace masticgrade
