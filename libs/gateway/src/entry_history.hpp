#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

/// What successive reads of the directory show about the processes of the instances.
///
/// An entry may outlive its process: the store removes it some time after the last write, later if
/// the store is slow or was down, and `instance_directory` keeps it for a time after that. That a
/// process still runs is shown only by its writes. A process increases the sequence of its entry
/// with each write.
///
/// Lives as long as the process. Thread safety: none. Does not read the clock.
class entry_history {
public:
    /// The store removes the entry of a process that has ended within `entry_lifetime`, unless it
    /// is slow or down. Precondition: `entry_lifetime` > 0.
    explicit entry_history(milliseconds entry_lifetime) : entry_lifetime_(entry_lifetime) {}

    /// A read of the store that was sent at `sent_at` has returned these entries.
    /// Precondition: `sent_at` is later than that of each earlier call.
    void on_read(const std::vector<instance_entry>& entries, boot_time sent_at);
    void on_read_failed() { last_read_.reset(); }

    /// Whether the process still ran after `moment`. It did if it has written its entry twice after
    /// it; a single write may have been carried out late. In a directory that shows no writes of
    /// unchanged entries, the entry must have been in every read for a lifetime instead, with no
    /// failed read. Returns false if that is not known.
    [[nodiscard]] bool has_run_after(const log_holder& process, boot_time moment) const;
    /// Whether the process has written its entry twice after `moment`.
    [[nodiscard]] bool has_written_after(const log_holder& process, boot_time moment) const;

private:
    struct entry_state {
        instance_entry entry;
        /// The last read that was sent before the present sequence was shown, and the same for the
        /// sequence before it. The writes took place after these reads.
        std::optional<boot_time> written_after;
        std::optional<boot_time> previously_written_after;
        /// The last read that showed the entry, and the first one of an unbroken series.
        boot_time shown_at;
        boot_time shown_since;
    };
    /// Of an entry, by id and start time.
    using process_key = std::pair<instance_id, std::int64_t>;

    milliseconds entry_lifetime_;
    std::map<process_key, entry_state> entries_;
    /// The last read; empty if it failed.
    std::optional<boot_time> last_read_;
    /// The sequence of an otherwise unchanged entry has increased.
    bool shows_writes_ = false;
};

}  // namespace masticgrade
