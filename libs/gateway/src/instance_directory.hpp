#pragma once

#include <map>
#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

/// The instances' entries as last read. Entries lapse while the store is away although their
/// instances live, so a missing entry counts as gone only after it was missing from every reading
/// for `missing_grace`, counted from the first reading after an outage.
/// Lives as long as the process. Thread safety: none; one executor.
class instance_directory {
public:
    /// Instances that live are back in the store about 2 s after its return.
    static constexpr milliseconds missing_grace{2500};

    void apply(const std::vector<instance_entry>& entries, boot_time now);
    void on_store_lost() { outage_ = true; }

    [[nodiscard]] bool is_loaded() const { return known_; }
    [[nodiscard]] std::vector<instance_entry> entries_of(const group_id& group) const;

private:
    struct known_entry {
        instance_entry entry;
        std::optional<boot_time> missing_since;
    };
    std::map<instance_id, known_entry> entries_;
    bool known_ = false;
    bool outage_ = false;
};

}  // namespace masticgrade
