#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "masticgrade/usage/usage_collector.hpp"
#include "masticgrade/usage/usage_record.hpp"

namespace masticgrade {

enum class report_outcome {
    done,
    /// A higher fencing token is known.
    refused,
    /// The report may still arrive.
    unknown,
};

/// Read the record from the store; answer with `on_record` or `on_store_failed`.
struct read_record_step {};

/// Write the record if the row still has this version in this era; answer with `on_commit` or
/// `on_store_failed`.
struct write_record_step {
    enum class reason { takeover, windows, renewal };

    usage_record record;
    fleet_version version;
    store_era era;
    reason cause = reason::renewal;
    /// Windows given up, because their reports could not arrive in time or may have been sent under
    /// a record that was lost.
    std::uint64_t skipped = 0;
};

/// Send the report to the platform; answer with `on_sent`.
struct send_report_step {
    window_usage report;
    std::uint64_t fence = 0;
};

using usage_step = std::variant<read_record_step, write_record_step, send_report_step>;

/// Decides when this host reports usage to the platform, and what.
///
/// The record in the store is the lock of the reports: counts are fixed in it by a conditional
/// commit before they are sent, so that each holder sends the same counts for a window. The holder
/// reports every window once it is due. Another collector takes over, under a higher fencing token,
/// when a window that is due has not been recorded for some time, and first repeats what the
/// platform may not have heard.
///
/// Performs one step at a time: after `next` has returned a step, call the answering function
/// before `next` again. Does not read the clock. Thread safety: none.
class usage_reporter {
public:
    /// Time from the end of a window until it is due. Operations that run at the end are answered
    /// and reported to the collectors by then.
    static constexpr milliseconds settling_time{2000};
    /// Time after the end of a window for which a host's totals are needed.
    static constexpr milliseconds answer_time{1000};
    /// Longest wait for the totals of a live host once a window is due.
    static constexpr milliseconds patience{4000};
    /// Time from one collector's turn to take over to the next one's.
    static constexpr milliseconds takeover_interval{1500};
    /// A host that hears less than half of the fleet acts only this long before a report is late.
    static constexpr milliseconds last_resort_time{2000};
    /// Most by which a clock of another host may be ahead.
    static constexpr seconds max_clock_lead{20};
    /// A report that is not known to be confirmed is repeated by another host this long before it
    /// is late.
    static constexpr milliseconds repeat_time{2000};
    /// A call is sent within this time of a commit of the record.
    static constexpr milliseconds commit_validity{1000};
    /// A host takes over a record that has not changed for this long, when the previous holder's
    /// calls have ended.
    static constexpr milliseconds handover_time{1500};
    /// A holder whose calls have all failed for this long lets others take over.
    static constexpr milliseconds failing_time{4500};
    /// Time for which it then takes no step, in which a window becomes overdue.
    static constexpr milliseconds yield_time{10000};
    /// Added to the lease for the delays of calls.
    static constexpr milliseconds lease_margin{1000};

    struct identity {
        host_id host;
        incarnation_number incarnation;
    };

    usage_reporter(identity self, usage_settings settings, boot_time started,
                   wall_time started_wall);

    /// The current state of this host and the fleet.
    struct view {
        boot_time now;
        wall_time wall;
        /// This host's place among the collectors; absent if it is none.
        std::optional<std::size_t> rank;
        /// All live hosts, including this one.
        const std::vector<host_id>& live_hosts;
        const usage_collector& collector;
        /// Number of hosts in the store's list, including this one.
        std::size_t registered_hosts = 1;
    };
    /// The next step, or nullopt if there is nothing to do now.
    [[nodiscard]] std::optional<usage_step> next(const view& state);

    void on_record(const stored_usage_record& record, boot_time now);
    /// The outcome of a read or write is unknown.
    void on_store_failed(boot_time now);
    /// `sent_at` is the time before the write was sent.
    void on_commit(const write_record_step& step, bool committed, fleet_version version,
                   store_era era, boot_time sent_at);
    void on_sent(const send_report_step& step, report_outcome outcome, boot_time now);

    /// Whether this host holds the lock, as far as it knows.
    [[nodiscard]] bool is_holder() const;

private:
    [[nodiscard]] bool is_lost(const stored_usage_record& stored) const;
    /// The newest window that was due at `moment`, plus one.
    [[nodiscard]] window_number due_until(wall_time moment) const;
    [[nodiscard]] bool is_late(window_number window, wall_time now) const;
    /// Whether this host hears at least half of the registered hosts.
    [[nodiscard]] static bool hears_fleet(const view& state);
    /// Whether the totals of all hosts but `ignored` that were heard or are live contain the
    /// window.
    [[nodiscard]] bool has_all_totals(window_number window, const view& state,
                                      const host_id* ignored) const;
    /// When a window is recorded although totals are missing.
    [[nodiscard]] wall_time patience_end(window_number window, const view& state) const;
    [[nodiscard]] bool is_complete(window_number window, const view& state) const;
    std::optional<usage_step> next_as_holder(const view& state);
    /// The next recorded report, if this host may send it now. Precondition: `is_holder()`.
    [[nodiscard]] std::optional<usage_step> next_report(const view& state) const;
    std::optional<usage_step> next_as_candidate(const view& state);
    /// Whether it is this host's turn to take over.
    [[nodiscard]] bool takeover_is_due(const view& state) const;
    write_record_step take_over(const view& state);
    /// Adds the next window to the step's record if it is due and complete. One window a commit, so
    /// that the record fits in a row of the store after an outage.
    void add_due_window(write_record_step& step, const view& state);
    /// Whether one of the reports is late within `remaining`, but not yet.
    [[nodiscard]] bool is_nearly_late(const std::vector<window_usage>& reports,
                                      milliseconds remaining, wall_time now) const;
    [[nodiscard]] const window_usage* first_unsent(const usage_record& record) const;
    void forget_old_windows(wall_time now);

    identity self_;
    usage_settings settings_;
    boot_time started_;
    wall_time started_wall_;
    /// No step is taken before.
    boot_time wait_until_;
    /// Steps in a row that failed at the store.
    unsigned store_failures_ = 0;
    /// The record as known; absent if it has to be read.
    std::optional<stored_usage_record> known_;
    boot_time known_at_;
    /// When the row was first read in its present state.
    boot_time unchanged_since_;
    fleet_version seen_version_;
    std::optional<store_era> seen_era_;
    /// Time before the last successful commit was sent.
    std::optional<boot_time> committed_at_;
    /// Counts that this process has tried to record. They never change.
    std::map<window_number, usage_counts> computed_;
    /// Windows whose counts this process has recorded.
    std::set<window_number> recorded_;
    /// The first window that this process has not recorded.
    window_number recorded_until_;
    /// Windows whose reports the platform has confirmed to this process.
    std::set<window_number> confirmed_;
    /// Since when every call has failed.
    std::optional<boot_time> failing_since_;
    /// Time of the last call to the platform.
    std::optional<boot_time> last_call_;
    /// The highest token that this process has used.
    std::uint64_t own_fence_ = 0;
    /// The highest token that the platform has refused.
    std::uint64_t refused_fence_ = 0;
};

}  // namespace masticgrade
