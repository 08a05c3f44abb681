#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "masticgrade/usage/usage_window.hpp"

namespace masticgrade {

/// Totals of one process, sent to a collector.
struct usage_update {
    /// Running totals of the customers whose totals the collector has not acknowledged.
    std::vector<window_usage> windows;
    /// Increases with each counted operation; the collector returns it.
    std::uint64_t revision = 0;
    /// Operations that were run before this time are contained.
    wall_time taken_at;
    /// The collector's process that has acknowledged what the update leaves out.
    incarnation_number base_incarnation = {};
    /// The acknowledged revision; 0 if the update contains all totals.
    std::uint64_t base_revision = 0;

    friend bool operator==(const usage_update&, const usage_update&) = default;
};

/// Counts the operations of this host's callers that instances began to run, and decides what each
/// collector has to be sent.
///
/// Does not read the clock. Thread safety: none.
class operation_counter {
public:
    /// Windows that ended longer ago are forgotten.
    static constexpr seconds retention{20};

    explicit operation_counter(milliseconds window_length) : window_length_(window_length) {}

    /// Counts one operation that an instance began to run at `began_at`.
    void count(const customer_id& customer, wall_time began_at);
    /// The totals that the collector has not acknowledged.
    [[nodiscard]] usage_update next_update(const host_id& collector, wall_time now);
    /// The collector's process has stored the update of this revision.
    void on_acknowledged(const host_id& collector, incarnation_number incarnation,
                         std::uint64_t revision);
    /// Forgets what other collectors have acknowledged.
    void keep_collectors(const std::set<host_id>& collectors);

private:
    struct total {
        std::uint64_t count = 0;
        /// Revision of the last change.
        std::uint64_t revision = 0;
    };
    struct acknowledgement {
        incarnation_number incarnation;
        std::uint64_t revision = 0;
    };

    void forget_old_windows(wall_time now);

    milliseconds window_length_;
    std::uint64_t revision_ = 0;
    std::map<window_number, std::map<customer_id, total>> windows_;
    std::map<host_id, acknowledgement> acknowledged_;
};

}  // namespace masticgrade
