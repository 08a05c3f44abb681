#pragma once

#include <optional>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Detects the failure of a primary from the traffic that this host exchanges with it.
///
/// Any answer on any connection shows that the primary is alive. When a statement has been
/// unanswered for `response_timeout`, the instance's host is probed; `failed_probe_threshold`
/// consecutive failed probes mean that the primary is dead. After a successful probe, further ones
/// are made only while statements are being sent. If the primary answers reads but every commit
/// times out, it has lost its replicas and counts as dead as well, since writes fail.
///
/// A gap between two calls of `tick` means that this process was suspended, and resets the
/// detector.
///
/// Thread safety: none.
class primary_failure_detector {
public:
    static constexpr milliseconds response_timeout{400};
    static constexpr milliseconds commit_stall_limit{1300};
    /// Hosts that have sent no statement for longer than this don't probe; it is the time that a
    /// statement may take.
    static constexpr milliseconds probe_activity_window{2000};
    static constexpr milliseconds max_tick_gap{400};
    static constexpr unsigned failed_probe_threshold = 2;

    void reset(time_point now);
    void on_statement_sent(time_point now);
    void on_answer(time_point now);
    void on_probe_result(bool reachable, time_point now);
    void on_connection_refused(time_point now);
    void on_commit_sent(time_point now);
    void on_commit_answered(time_point now);
    /// A commit timed out without an answer.
    void on_commit_timeout(time_point now);
    /// Call at least every 200 ms.
    void tick(time_point now);

    [[nodiscard]] bool should_probe(time_point now) const;
    [[nodiscard]] bool is_dead(time_point now) const;
    /// The time of the last answer, if any.
    [[nodiscard]] std::optional<time_point> last_answer() const { return last_answer_; }

private:
    std::optional<time_point> unanswered_since_;
    std::optional<time_point> last_answer_;
    time_point last_sent_{};
    std::optional<time_point> commit_unanswered_since_;
    unsigned commits_timed_out_ = 0;
    unsigned failed_probes_ = 0;
    time_point last_tick_{};
};

}  // namespace masticgrade
