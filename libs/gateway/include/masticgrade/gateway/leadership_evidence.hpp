#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// A promotion call that may still be carried out.
struct promotion_request {
    std::uint64_t fence = 0;
    instance_id target;
    /// The process that was chosen, see instance_entry::start_time; zero if unknown.
    std::int64_t start_time = 0;
    /// The end of its log when it was chosen.
    log_index position;
    /// The term at which its attempt held the replicas.
    term_number hold_term;

    friend bool operator==(const promotion_request&, const promotion_request&) = default;
};

/// The process that leads a group, or has led it last.
struct recorded_primary {
    log_holder process;
    /// The era of the store in which it was recorded. A row of a later era may be an older copy.
    store_era era;
    /// The end of its log, if it has stepped down and no instance was promoted since.
    std::optional<log_index> end = {};

    friend bool operator==(const recorded_primary&, const recorded_primary&) = default;
};

/// The state of a group's failovers, as stored in its failover row.
struct failover_record {
    /// Increases with each failover attempt.
    std::uint64_t fence = 0;
    /// An attempt is in progress.
    bool open = false;
    /// The instance that was promoted last; empty if there was no promotion.
    instance_id target;
    /// The term in which `target` leads; zero if unknown.
    term_number term;
    /// The known processes that may have acknowledged commits which no other process has. There may
    /// be further ones that no host has heard of. Empty if not recorded yet.
    std::set<log_holder> log_holders = {};
    /// Of log holders that have ended: the end of the primary's log as read after that. No commit
    /// that they have received lies beyond it.
    std::map<log_holder, log_index> log_bounds = {};
    /// Has every acknowledged commit for as long as its process runs. Absent if not recorded, as by
    /// hosts of earlier releases.
    std::optional<recorded_primary> primary = {};
    /// A promotion request may still be carried out, since its answer was lost or its sender ended.
    bool request_pending = false;
    /// The end that the log of a target needs at least, as known to attempts that promoted nothing.
    /// Hosts that start later would not know it.
    std::optional<log_index> required = {};
    /// These requests, if known: hosts of earlier releases set `request_pending` only.
    std::vector<promotion_request> requests = {};
    /// The process of `target` that was chosen, see instance_entry::start_time; zero if unknown.
    std::int64_t target_start_time = 0;
    /// The end of its log when it was chosen. Each later primary has as many entries at least.
    log_index target_position = {};

    friend bool operator==(const failover_record&, const failover_record&) = default;
};

/// Decides whether a host may use an instance as its group's primary.
///
/// After a promotion, the old primary may continue to accept transactions until it hears of the new
/// one, so its answers don't prove that it still leads. A host therefore relies on the group's
/// failover row, whose lock every promotion acquires first, for at most `lifetime` after it read
/// the row. The lock holder promotes only when every other host has confirmed that it stopped
/// using the old primary, or when `expiry_wait` has passed since the lock was acquired.
///
/// Thread safety: none. Does not read the clock.
class leadership_evidence {
public:
    /// How long a read of the failover row may be relied on. Operators expect no service from a
    /// host that has not reached the store for 3 s.
    static constexpr milliseconds lifetime{3000};
    /// Longer than `lifetime` by 10%, for clocks that run at different speeds.
    static constexpr milliseconds expiry_wait{3300};

    /// Applies the group's failover row, empty if there is none, from a read that was sent at
    /// `read_at` and answered in the store's era `era`. Returns whether a newer promotion has
    /// become known.
    bool on_row(const std::optional<failover_record>& row, boot_time read_at, store_era era = {});
    /// Another host has acquired the lock with this fencing token. No primary may be used until the
    /// outcome of that failover is known.
    void revoke(std::uint64_t fence, boot_time now);

    struct claimant {
        instance_id id;
        /// The term at the end of the instance's log; zero if unknown.
        term_number log_term;
        /// See instance_entry::start_time; zero if unknown.
        std::int64_t start_time = 0;
        /// The end of the log that the listed process has reported as the primary, if it has.
        std::optional<log_index> reported_end = {};
        /// The process may have started again since it reported the end of its log.
        bool may_have_restarted = false;
        /// It leads with a shorter log than it is known to have had.
        bool position_fell = false;
    };
    /// Whether the instance leads without its log: it has started again, and nothing that it says
    /// of itself shows that it may lead.
    [[nodiscard]] bool has_lost_log(const claimant& instance) const {
        return instance.position_fell;
    }
    /// Whether the process started after the one that was promoted last under this id.
    [[nodiscard]] bool is_later_process(const claimant& instance) const;
    /// Whether the instance has to report the end of its log before it may be used as the primary,
    /// since it may have started again without it.
    [[nodiscard]] bool is_unconfirmed(const claimant& instance) const;
    /// Whether a primary of this term whose log ends at `received` lacks entries of the instance
    /// that was promoted last.
    [[nodiscard]] bool is_below_record(term_number term, log_index received) const;
    /// Whether the instance may be used as the primary. `target_is_listed` tells whether the
    /// directory lists the instance that was promoted last.
    [[nodiscard]] bool allows(const claimant& instance, bool target_is_listed, boot_time now) const;
    /// Whether recent evidence names another instance as the primary.
    [[nodiscard]] bool contradicts(const claimant& instance, bool target_is_listed,
                                   boot_time now) const;
    /// Whether the last read of the failover row is too old to use any primary.
    [[nodiscard]] bool is_expired(boot_time now) const;

    /// Whether the store was restored to a copy without the newest record known here. Until the
    /// record is written again, the row proves nothing.
    [[nodiscard]] bool is_lost() const { return is_lost_; }

    [[nodiscard]] const failover_record& record() const { return record_; }
    /// The time of the last read; empty if there was none.
    [[nodiscard]] std::optional<boot_time> read_at() const { return read_at_; }

private:
    [[nodiscard]] bool is_settled(boot_time now) const;
    [[nodiscard]] bool leads(const claimant& instance, bool target_is_listed) const;

    failover_record record_;
    std::optional<boot_time> read_at_;
    /// Era of the last read.
    store_era era_;
    bool is_lost_ = false;
    std::uint64_t revoked_fence_ = 0;
    boot_time revoked_at_;
};

}  // namespace masticgrade
