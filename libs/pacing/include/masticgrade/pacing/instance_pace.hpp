#pragma once

#include <limits>
#include <optional>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Limits the concurrent statements on one instance after it has started, recovered or been
/// promoted.
///
/// The limit starts at one. It grows by one for each answer that arrives in the group's usual time,
/// which doubles it per round trip, and by one per round trip after slower answers or above the
/// limit at which the instance last refused. Refusals halve it. It ends once the instance has
/// carried its full load, or at the latest `max_length` after its start.
///
/// Reads no clock; times must not decrease. Thread safety: none.
class instance_pace {
public:
    /// Bounds the harm of refusals that do not depend on the load, such as those of a faulty
    /// instance.
    static constexpr seconds max_length{10};

    struct answer {
        duration elapsed{};
        /// The time of a statement on the group's other instances, if known.
        std::optional<duration> usual;
        /// Statements in flight on the instance, this one included.
        unsigned in_flight = 0;
        /// The number of statements in flight at which no limit is needed any more, that is, what
        /// the sender keeps in flight at most. Precondition: at least 1.
        unsigned full = 1;
    };

    /// Starts to limit, or starts again.
    void start(time_point now);

    /// The instance has executed a statement. Returns whether the limit changed or ended.
    bool on_answer(const answer& answer, time_point now);

    /// The instance refused or abandoned a statement that was sent at `sent_at` because it was
    /// busy.
    void on_refusal(time_point sent_at, time_point now);

    /// A statement got no answer, or a connection could not be opened. The second failure without
    /// an answer in between makes the instance unreachable: the limit starts again at one. Returns
    /// whether it did.
    bool on_failure(time_point now);

    [[nodiscard]] bool is_limiting(time_point now) const noexcept {
        return limit_ != unlimited && now < ends_at_;
    }
    /// Whether another statement may be sent. At least one may always be in flight.
    [[nodiscard]] bool admits(unsigned in_flight, time_point now) const noexcept {
        return !is_limiting(now) || in_flight < limit_;
    }
    /// Whether the limit ended because of `max_length`; `reset` acknowledges that.
    [[nodiscard]] bool has_expired(time_point now) const noexcept {
        return limit_ != unlimited && now >= ends_at_;
    }
    void reset() noexcept { limit_ = unlimited; }

private:
    static constexpr unsigned unlimited = std::numeric_limits<unsigned>::max();

    unsigned limit_ = unlimited;
    /// From this limit on, the growth is one per round trip.
    unsigned fast_growth_end_ = unlimited;
    /// Answers since the last change of the limit that did not change it.
    unsigned answers_ = 0;
    unsigned failures_ = 0;
    time_point ends_at_{};
    time_point halved_at_{};
};

}  // namespace masticgrade
