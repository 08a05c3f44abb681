#pragma once

#include <optional>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Decides whether a primary is dead from what this host sees of it.
///
/// An answer on any connection is a sign of life. Statements that stay unanswered for
/// `response_timeout` call for a probe of the instance's host; `failed_probes` in a row mean dead.
/// Commits that all hang although the primary answers reads mean that it cannot reach a replica,
/// which is as bad for writers. A probe that succeeds is repeated only while statements are sent.
/// This host's own pauses count for nothing: after a gap between two calls of `tick` everything
/// starts anew.
///
/// Thread safety: none.
class primary_failure_detector {
public:
    static constexpr milliseconds response_timeout{400};
    static constexpr milliseconds commit_stall_limit{1300};
    /// A host that has sent nothing for longer, a statement's time, need not find out.
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
    /// A commit's time ran out without an answer.
    void on_commit_timeout(time_point now);
    /// Call at least every 200 ms.
    void tick(time_point now);

    [[nodiscard]] bool should_probe(time_point now) const;
    [[nodiscard]] bool is_dead(time_point now) const;

private:
    std::optional<time_point> unanswered_since_;
    time_point last_sent_{};
    std::optional<time_point> commit_unanswered_since_;
    unsigned commits_timed_out_ = 0;
    unsigned failed_probes_ = 0;
    time_point last_tick_{};
};

}  // namespace masticgrade
