#pragma once

#include <map>
#include <optional>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

/// The instances' registrations as last read from the store. Registrations expire during a store
/// outage although their instances are running, so an instance is removed only after it has been
/// missing from every snapshot for `missing_grace`, counted from the first snapshot after the
/// outage. Lives as long as the process. Thread safety: none; one executor.
class instance_directory {
public:
    /// Running instances register again within about 2 s of the end of an outage.
    static constexpr milliseconds missing_grace{2500};
    /// How long removed entries are remembered. Copies that the store is restored from are some
    /// seconds old.
    static constexpr seconds removed_entry_lifetime{60};

    void apply(const std::vector<instance_entry>& entries, boot_time now);
    void on_store_lost() { outage_ = true; }

    [[nodiscard]] bool is_loaded() const { return loaded_; }
    [[nodiscard]] std::vector<instance_entry> entries_of(const group_id& group) const;

private:
    struct tracked_entry {
        instance_entry entry;
        std::optional<boot_time> missing_since;
    };
    /// Whether the same process has written a newer entry, so that this one comes from a copy that
    /// the store was restored from.
    [[nodiscard]] bool is_set_back(const instance_entry& entry) const;

    std::map<instance_id, tracked_entry> entries_;
    /// The entries of removed instances and the times of their removal.
    std::map<instance_id, tracked_entry> removed_;
    bool loaded_ = false;
    bool outage_ = false;
};

}  // namespace masticgrade
